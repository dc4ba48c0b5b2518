#include "cypresswall/lease/generation_keeper.h"

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

GenerationKeeper::GenerationKeeper(const LeaseSettings& settings,
                                   const api::ProcessContext& context,
                                   membership::MembershipView& membership,
                                   object_store::ObjectStore& store, Authority authority)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      authority_(std::move(authority)),
      start_time_(context.clock.now()),
      next_look_(context.clock.now()),
      next_noting_(context.clock.now()),
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

void GenerationKeeper::withHolder() { holderless_since_.reset(); }

void GenerationKeeper::withoutHolder() {
  const auto now = context_.clock.now();
  if (!holderless_since_) {
    holderless_since_ = now;
  }
  if (busy_ || now < next_look_) {
    return;
  }
  const auto& members = membership_.members();
  std::size_t rank = 0;
  while (rank < members.size() && members[rank].node != context_.self) {
    ++rank;
  }
  next_look_ = now + settings_.store_interval * static_cast<std::int64_t>(1 + rank);
  askPeers();
  const bool long_holderless = now - *holderless_since_ >= settings_.takeover_after;
  if (authority_.newest_set().known() && !long_holderless) {
    return;
  }
  busy_ = true;
  read([this](const Stored& stored) { consider(stored); });
}

void GenerationKeeper::askPeers() {
  for (const auto& member : membership_.members()) {
    authority_.ask_set(member.node, VoterSetRequest{authority_.newest_set().version});
  }
}

void GenerationKeeper::read(std::function<void(const Stored&)> use) {
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

void GenerationKeeper::consider(const Stored& stored) {
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

void GenerationKeeper::createFirst() {
  if (context_.clock.now() - start_time_ >= settings_.settle_time) {
    begin(0, 1);
  }
}

bool GenerationKeeper::outForGood(const common::NodeId& voter,
                                  std::uint32_t next_generation) const {
  const auto sealed = sealed_before_.find(voter);
  const bool stays_out = sealed != sealed_before_.end() && sealed->second >= next_generation;
  return stays_out || membership_.confirmedDead(voter);
}

bool GenerationKeeper::quorumLost(const VoterSet& set) const {
  NodeSet perhaps_alive;
  for (const auto& node : set.members) {
    if (!outForGood(node, set.version.generation + 1)) {
      perhaps_alive.insert(node);
    }
  }
  return !set.hasQuorum(perhaps_alive);
}

void GenerationKeeper::considerTakeover(const Stored& stored) {
  const VoterSet& newest = authority_.newest_set();
  const auto now = context_.clock.now();
  const bool long_holderless =
      holderless_since_ && now - *holderless_since_ >= settings_.takeover_after;
  if (!long_holderless || stored.record->generation != newest.version.generation ||
      !quorumLost(newest)) {
    return;
  }
  const std::uint32_t next = stored.record->generation + 1;
  bool all_out = true;
  for (const auto& voter : stored.record->voters) {
    const bool out = outForGood(voter, next);
    all_out = all_out && out;
    if (!out) {
      authority_.ask_seal(voter, SealRequest{next, newest.version});
    }
  }
  if (all_out) {
    begin(stored.version, next);
  }
}

void GenerationKeeper::handle(const common::NodeId& sender, const SealReply& reply) {
  if (reply.newest_set.known()) {
    authority_.learn(reply.newest_set);
  }
  if (reply.sealed) {
    noteSealed(sender, reply.generation);
  }
}

void GenerationKeeper::noteSealed(const common::NodeId& voter, std::uint32_t generation) {
  auto& known = sealed_before_[voter];
  known = std::max(known, generation);
}

void GenerationKeeper::begin(std::uint64_t expected_version, std::uint32_t generation) {
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
    authority_.spread(record.firstSet());
  });
}

void GenerationKeeper::write(std::uint64_t expected_version, const AuthorityRecord& record,
                             const std::function<void(bool)>& done) {
  const std::string change_id = context_.self.toString() + "/" + std::to_string(++change_count_);
  object_store::ObjectWrite write{authorityKey(context_.zone), expected_version,
                                  encodeAuthorityRecord(record), change_id};
  store_.compareAndSet(std::move(write), [=, this](const StoredResult& result) {
    if (result.ok()) {
      done(true);
    } else if (result.failure().kind == StoreFailure::kUnknownOutcome) {
      lost_answer_count_.add();
      settle(expected_version, record, change_id, done);
    } else {
      const bool conflict = result.failure().kind == StoreFailure::kConflict;
      (conflict ? conflict_count_ : unavailable_count_).add();
      done(false);
    }
  });
}

void GenerationKeeper::settle(std::uint64_t expected_version, const AuthorityRecord& record,
                              const std::string& change_id, const std::function<void(bool)>& done) {
  store_.get(authorityKey(context_.zone), [=, this](const StoredResult& result) {
    const bool missing = !result.ok() && result.failure().kind == StoreFailure::kNotFound;
    if (!result.ok() && !missing) {
      unavailable_count_.add();
      context_.scheduler.schedule(settings_.store_interval,
                                  [=, this] { settle(expected_version, record, change_id, done); });
      return;
    }
    const bool written = result.ok() && result.value().change_id == change_id;
    done(written);
  });
}

void GenerationKeeper::resetNoting() {
  ++noting_round_;
  noting_ = NotingState::kIdle;
}

GenerationKeeper::NotingStep GenerationKeeper::noteVoters(const VoterSet& committed) {
  const bool noted = committed.anchors == std::vector<NodeList>{committed.members};
  NotingStep step;
  // A read that failed gives no answer and is begun again.
  const bool to_read = noting_ == NotingState::kIdle || noting_ == NotingState::kReading;
  if (to_read && !noted && context_.clock.now() >= next_noting_) {
    readForNoting();
  } else if (noting_ == NotingState::kRead) {
    noted_wanted_ = committed.members;
    std::vector<NodeList> anchors = committed.anchors;
    addAnchor(anchors, noted_stored_);
    addAnchor(anchors, noted_wanted_);
    if (anchors != committed.anchors) {
      step.anchors = anchors;
      return step;
    }
    noting_ = NotingState::kWriting;
    const AuthorityRecord record{committed.version.generation, noted_wanted_};
    write(noted_version_, record, [this, round = noting_round_](bool written) {
      if (round == noting_round_) {
        noting_ = written ? NotingState::kWritten : NotingState::kIdle;
      }
    });
  } else if (noting_ == NotingState::kWritten) {
    const std::vector<NodeList> anchors = {noted_wanted_};
    if (committed.anchors == anchors) {
      noting_ = NotingState::kIdle;
    } else {
      step.anchors = anchors;
    }
  }
  return step;
}

void GenerationKeeper::readForNoting() {
  noting_ = NotingState::kReading;
  next_noting_ = context_.clock.now() + settings_.store_interval;
  read([this, round = noting_round_](const Stored& stored) {
    if (round != noting_round_ || noting_ != NotingState::kReading) {
      return;
    }
    noting_ = NotingState::kIdle;
    const auto generation = stored.record ? stored.record->generation : 0;
    if (generation > authority_.newest_set().version.generation) {
      authority_.learn(stored.record->firstSet());
      return;
    }
    noted_version_ = stored.version;
    noted_stored_ = stored.record ? stored.record->voters : NodeList{};
    noting_ = NotingState::kRead;
  });
}

}  // namespace cypresswall::lease
