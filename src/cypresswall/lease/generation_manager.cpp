#include "cypresswall/lease/generation_manager.h"

#include <algorithm>
#include <utility>

#include "cypresswall/lease/voter_set_planner.h"

namespace cypresswall::lease {
namespace {

using object_store::StoreFailure;
using StoredResult = object_store::StoreResult<object_store::StoredObject>;

void addAnchor(std::vector<NodeList>& anchors, const NodeList& anchor) {
  if (!anchor.empty() && std::find(anchors.begin(), anchors.end(), anchor) == anchors.end()) {
    anchors.push_back(anchor);
  }
}

}  // namespace

GenerationManager::GenerationManager(const LeaseSettings& settings,
                                     const api::ProcessContext& context,
                                     membership::MembershipView& membership,
                                     object_store::ObjectStore& store, Authority authority)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      authority_(std::move(authority)),
      start_time_(context.clock.now()),
      next_store_check_(context.clock.now()),
      next_recording_(context.clock.now()),
      conflict_count_(context.counters.counter("cypresswall_authority_conflicts_total",
                                               "Writes of the zone's authority that lost a race")),
      unavailable_count_(
          context.counters.counter("cypresswall_authority_store_unavailable_total",
                                   "Calls for the zone's authority that the store did not take")),
      lost_answer_count_(context.counters.counter("cypresswall_authority_lost_answers_total",
                                                  "Writes of the zone's authority settled by "
                                                  "reading back")),
      generation_count_(context.counters.counter("cypresswall_authority_generations_total",
                                                 "Generations of voters begun by this node")) {}

void GenerationManager::onHolderKnown() { no_holder_since_.reset(); }

void GenerationManager::onHolderMissing() {
  const auto now = context_.clock.now();
  if (!no_holder_since_) {
    no_holder_since_ = now;
  }
  if (busy_ || now < next_store_check_) {
    return;
  }
  const auto& members = membership_.members();
  std::size_t rank = 0;
  while (rank < members.size() && members[rank].node != context_.self) {
    ++rank;
  }
  next_store_check_ = now + settings_.store_interval * static_cast<std::int64_t>(1 + rank);
  requestVoterSets();
  const bool takeover_due = now - *no_holder_since_ >= settings_.takeover_after;
  if (authority_.newest_set().known() && !takeover_due) {
    return;
  }
  busy_ = true;
  read([this](const Stored& stored) { consider(stored); });
}

void GenerationManager::requestVoterSets() {
  for (const auto& member : membership_.members()) {
    authority_.request_set(member.node, VoterSetRequest{authority_.newest_set().version});
  }
}

void GenerationManager::read(std::function<void(const Stored&)> use) {
  store_.get(authorityKey(context_.zone), [this, use = std::move(use)](const StoredResult& result) {
    busy_ = false;
    if (result.ok()) {
      try {
        const auto record = decodeAuthorityRecord(result.value().value);
        use(Stored{result.value().version, record});
      } catch (const AuthorityRecordError& error) {
        common::LogEvent(context_.log, common::LogLevel::kError, "authority_record_unreadable")
            .field("zone", context_.zone)
            .field("reason", error.what());
      }
    } else if (result.failure().kind == StoreFailure::kNotFound) {
      use(Stored{});
    } else {
      unavailable_count_.add();
    }
  });
}

void GenerationManager::consider(const Stored& stored) {
  const VoterSet& newest = authority_.newest_set();
  if (!stored.record) {
    if (!newest.known()) {
      createFirst();
    }
    return;
  }
  if (stored.record->generation > newest.version.generation) {
    authority_.learn(stored.record->firstSet());
    return;
  }
  considerTakeover(stored);
}

void GenerationManager::createFirst() {
  if (context_.clock.now() - start_time_ >= settings_.settle_time) {
    begin(0, 1);
  }
}

bool GenerationManager::isRetired(const common::NodeId& voter,
                                  std::uint32_t next_generation) const {
  const auto sealed = sealed_before_.find(voter);
  const bool stays_out = sealed != sealed_before_.end() && sealed->second >= next_generation;
  return stays_out || membership_.confirmedDead(voter);
}

bool GenerationManager::quorumLost(const VoterSet& set) const {
  NodeSet perhaps_alive;
  for (const auto& node : set.members) {
    if (!isRetired(node, set.version.generation + 1)) {
      perhaps_alive.insert(node);
    }
  }
  return !set.hasQuorum(perhaps_alive);
}

void GenerationManager::considerTakeover(const Stored& stored) {
  const VoterSet& newest = authority_.newest_set();
  const auto now = context_.clock.now();
  const bool takeover_due = no_holder_since_ && now - *no_holder_since_ >= settings_.takeover_after;
  if (!takeover_due || stored.record->generation != newest.version.generation ||
      !quorumLost(newest)) {
    return;
  }
  const std::uint32_t next = stored.record->generation + 1;
  bool all_out = true;
  for (const auto& voter : stored.record->voters) {
    const bool out = isRetired(voter, next);
    all_out = all_out && out;
    if (!out) {
      authority_.request_seal(voter, SealRequest{next, newest.version});
    }
  }
  if (all_out) {
    begin(stored.version, next);
  }
}

void GenerationManager::handle(const common::NodeId& sender, const SealReply& reply) {
  if (reply.newest_set.known()) {
    authority_.learn(reply.newest_set);
  }
  if (reply.sealed) {
    recordSealed(sender, reply.generation);
  }
}

void GenerationManager::recordSealed(const common::NodeId& voter, std::uint32_t generation) {
  auto& known = sealed_before_[voter];
  known = std::max(known, generation);
}

void GenerationManager::begin(std::uint64_t expected_version, std::uint32_t generation) {
  const AuthorityRecord record{generation,
                               chooseVoters(membership_.members(), settings_.maximum_voters)};
  if (record.voters.empty()) {
    return;
  }
  busy_ = true;
  write(expected_version, record, [this, record](bool written) {
    busy_ = false;
    if (!written) {
      return;
    }
    generation_count_.add();
    common::LogEvent(context_.log, common::LogLevel::kInfo, "authority_generation_begun")
        .field("zone", context_.zone)
        .field("generation", record.generation)
        .field("voters", record.voters.size());
    authority_.broadcast(record.firstSet());
  });
}

void GenerationManager::write(std::uint64_t expected_version, const AuthorityRecord& record,
                              const std::function<void(bool)>& done) {
  const std::string change_id = context_.self.toString() + "/" + std::to_string(++change_count_);
  object_store::ObjectWrite write{authorityKey(context_.zone), expected_version,
                                  encodeAuthorityRecord(record), change_id};
  store_.compareAndSet(std::move(write), [=, this](const StoredResult& result) {
    if (result.ok()) {
      done(true);
    } else if (result.failure().kind == StoreFailure::kUnknownOutcome) {
      lost_answer_count_.add();
      resolveOutcome(expected_version, record, change_id, done);
    } else {
      const bool conflict = result.failure().kind == StoreFailure::kConflict;
      (conflict ? conflict_count_ : unavailable_count_).add();
      done(false);
    }
  });
}

void GenerationManager::resolveOutcome(std::uint64_t expected_version,
                                       const AuthorityRecord& record, const std::string& change_id,
                                       const std::function<void(bool)>& done) {
  store_.get(authorityKey(context_.zone), [=, this](const StoredResult& result) {
    const bool missing = !result.ok() && result.failure().kind == StoreFailure::kNotFound;
    if (!result.ok() && !missing) {
      unavailable_count_.add();
      context_.scheduler.schedule(settings_.store_interval, [=, this] {
        resolveOutcome(expected_version, record, change_id, done);
      });
      return;
    }
    const bool written = result.ok() && result.value().change_id == change_id;
    done(written);
  });
}

void GenerationManager::resetRecording() {
  ++recording_round_;
  recording_ = RecordingState::kIdle;
}

GenerationManager::RecordingStep GenerationManager::recordVoters(const VoterSet& committed) {
  const bool recorded = committed.anchors == std::vector<NodeList>{committed.members};
  RecordingStep step;
  // A failed read leaves the state at kReading, so a read is started again in that state, too.
  const bool to_read =
      recording_ == RecordingState::kIdle || recording_ == RecordingState::kReading;
  if (to_read && !recorded && context_.clock.now() >= next_recording_) {
    readForRecording();
  } else if (recording_ == RecordingState::kRead) {
    wanted_voters_ = committed.members;
    std::vector<NodeList> anchors = committed.anchors;
    addAnchor(anchors, stored_voters_);
    addAnchor(anchors, wanted_voters_);
    if (anchors != committed.anchors) {
      step.anchors = anchors;
      return step;
    }
    recording_ = RecordingState::kWriting;
    const AuthorityRecord record{committed.version.generation, wanted_voters_};
    write(stored_version_, record, [this, round = recording_round_](bool written) {
      if (round == recording_round_) {
        recording_ = written ? RecordingState::kWritten : RecordingState::kIdle;
      }
    });
  } else if (recording_ == RecordingState::kWritten) {
    const std::vector<NodeList> anchors = {wanted_voters_};
    if (committed.anchors == anchors) {
      recording_ = RecordingState::kIdle;
    } else {
      step.anchors = anchors;
    }
  }
  return step;
}

void GenerationManager::readForRecording() {
  recording_ = RecordingState::kReading;
  next_recording_ = context_.clock.now() + settings_.store_interval;
  read([this, round = recording_round_](const Stored& stored) {
    if (round != recording_round_ || recording_ != RecordingState::kReading) {
      return;
    }
    recording_ = RecordingState::kIdle;
    const auto generation = stored.record ? stored.record->generation : 0;
    if (generation > authority_.newest_set().version.generation) {
      authority_.learn(stored.record->firstSet());
      return;
    }
    stored_version_ = stored.version;
    stored_voters_ = stored.record ? stored.record->voters : NodeList{};
    recording_ = RecordingState::kRead;
  });
}

}  // namespace cypresswall::lease
