#include "cypresswall/idempotency/claim_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cypresswall::idempotency {
namespace {

using lease::RecordModule;

constexpr const char* kClaimPrefix = "claim/";
/// Prefix of the key of a record that exists for a generation once the retention of every claim of
/// earlier generations has ended.
constexpr const char* kCertainPrefix = "certain/";

/// Key of the record that holds the version of a zone set. The retention of every claim made under
/// an earlier set has ended.
constexpr const char* kSettledZonesKey = "settled-zones";

std::string certainKey(std::uint32_t generation) {
  return kCertainPrefix + std::to_string(generation);
}

template <typename Value>
std::string encode(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

}  // namespace

ClaimTable::ClaimTable(const ClaimSettings& settings, const api::ProcessContext& context,
                       lease::AuthorityView& authority, lease::QuorumLog& log,
                       membership::MembershipView& membership, const KeyOwnership& ownership)
    : settings_(settings),
      context_(context),
      authority_(authority),
      log_(log),
      membership_(membership),
      ownership_(ownership),
      granted_count_(context.counters.counter("cypresswall_claims_granted_total",
                                              "Claims on idempotency keys granted")),
      full_count_(context.counters.counter("cypresswall_claims_refused_full_total",
                                           "Claims refused because the table was full")),
      uncertain_count_(context.counters.counter("cypresswall_claims_uncertain_total",
                                                "Claims answered as uncertain")),
      moved_count_(
          context.counters.counter("cypresswall_claims_moved_total",
                                   "Claims answered as uncertain because their key changed "
                                   "its zone within the retention")),
      not_owner_count_(context.counters.counter("cypresswall_claims_not_owner_total",
                                                "Claims on keys that this zone does not own")),
      answer_dropped_count_(context.counters.counter("cypresswall_claim_answers_dropped_total",
                                                     "Answers too large to keep")),
      unreadable_count_(context.counters.counter("cypresswall_claim_records_unreadable_total",
                                                 "Replicated claims that could not be read")) {}

void ClaimTable::start() {
  authority_.onChange([this](std::optional<common::Epoch> epoch) { leaseChanged(epoch); });
  sweep();
}

void ClaimTable::leaseChanged(std::optional<common::Epoch> epoch) {
  entries_.clear();
  answer_bytes_ = 0;
  if (epoch) {
    load(*epoch);
  }
}

template <typename Record>
std::optional<Record> ClaimTable::readable(const std::string& key, const std::string& payload) {
  try {
    return api::decodeBody<Record>(payload);
  } catch (const api::MessageError& error) {
    unreadable_count_.add();
    common::LogEvent(context_.log, common::LogLevel::kError, "claim_record_unreadable")
        .field("key", key)
        .field("error", error.what());
    return std::nullopt;
  }
}

void ClaimTable::load(const common::Epoch& epoch) {
  const auto now = context_.clock.now();
  generation_ = epoch.generation;
  const auto records = log_.records(RecordModule::kIdempotency);
  const std::string prefix = kClaimPrefix;
  for (const auto& [key, payload] : records) {
    if (!key.starts_with(prefix)) {
      continue;
    }
    auto record = readable<ClaimRecord>(key, payload);
    const bool unreadable = !record;
    Entry entry{std::move(record).value_or(ClaimRecord{}), false, now + settings_.retention,
                unreadable};
    answer_bytes_ += entry.record.answer.size();
    entries_[key.substr(prefix.size())] = std::move(entry);
  }
  uncertain_until_.reset();
  if (generation_ > 1 && !records.contains(certainKey(generation_))) {
    uncertain_until_ = now + settings_.retention;
  }
  const auto settled = records.find(kSettledZonesKey);
  settled_zones_version_ =
      settled == records.end()
          ? 0
          : readable<std::uint64_t>(settled->first, settled->second).value_or(0);
  zones_version_ = ownership_.version();
  zones_version_since_ = now;
}

void ClaimTable::sweep() {
  context_.scheduler.schedule(settings_.sweep_interval, [this] { sweep(); });
  if (!authority_.heldEpoch()) {
    return;
  }
  const auto now = context_.clock.now();
  std::vector<std::string> expired;
  for (const auto& [key, entry] : entries_) {
    if (now >= entry.expires) {
      expired.push_back(key);
    }
  }
  for (const auto& key : expired) {
    forget(key);
  }
  if (uncertain_until_ && now >= *uncertain_until_) {
    uncertain_until_.reset();
    log_.replicate(RecordModule::kIdempotency, certainKey(generation_), "", [](bool) {});
  }
  settleOwnership();
}

/// Once the current zone set has been in force for so long that the retention of every claim made
/// under an earlier set has ended, records this on the voters. The time starts anew when another
/// node becomes the holder.
void ClaimTable::settleOwnership() {
  const auto now = context_.clock.now();
  if (zones_version_ != ownership_.version()) {
    zones_version_ = ownership_.version();
    zones_version_since_ = now;
    return;
  }
  if (zones_version_ <= settled_zones_version_ || now < ownershipSettlesAt()) {
    return;
  }
  log_.replicate(RecordModule::kIdempotency, kSettledZonesKey, encode(zones_version_),
                 [this, version = zones_version_](bool kept) {
                   if (kept && authority_.heldEpoch()) {
                     settled_zones_version_ = std::max(settled_zones_version_, version);
                   }
                 });
}

void ClaimTable::forget(const std::string& key) {
  answer_bytes_ -= entries_.at(key).record.answer.size();
  entries_.erase(key);
  log_.erase(RecordModule::kIdempotency, kClaimPrefix + key);
}

void ClaimTable::claim(const ClaimRequest& request, const ClaimAnswered& answered) {
  ClaimReply reply;
  reply.claim = request.claim;
  if (!mayDecide(request)) {
    answered(reply);
    return;
  }
  const auto entry = entries_.find(request.key);
  if (entry == entries_.end() || entry->second.record.state == ClaimState::kReleased) {
    grantNew(request, answered);
    return;
  }
  const bool same_claim = entry->second.record.claim == request.claim;
  if (entry->second.committing && same_claim) {
    return;  // Answered when the claim is committed.
  }
  reply = evaluate(request, entry->second);
  uncertain_count_.add(reply.verdict == HolderVerdict::kUncertain ? 1 : 0);
  answered(reply);
}

common::MonotonicTime ClaimTable::ownershipSettlesAt() const {
  return zones_version_since_ + settings_.retention + settings_.ownership_margin;
}

/// A holder that knows an older zone set than the claimer or than an earlier holder must not
/// decide: another zone may own the key by now.
bool ClaimTable::mayDecide(const ClaimRequest& request) const {
  if (!authority_.heldEpoch()) {
    return false;
  }
  const auto version = ownership_.version();
  const bool owner = request.zones_version <= version && settled_zones_version_ <= version &&
                     ownership_.owner(request.key) == context_.zone;
  not_owner_count_.add(owner ? 0 : 1);
  return owner;
}

void ClaimTable::grantNew(const ClaimRequest& request, const ClaimAnswered& answered) {
  ClaimReply reply;
  reply.claim = request.claim;
  reply.retry_after_us = static_cast<std::uint64_t>(settings_.retry_after.count());
  const auto now = context_.clock.now();
  if (uncertain_until_ && now < *uncertain_until_) {
    uncertain_count_.add();
    reply.verdict = HolderVerdict::kUncertain;
    reply.retry_after_us = static_cast<std::uint64_t>((*uncertain_until_ - now).count());
    answered(reply);
    return;
  }
  if (!ownership_.ownedSince(request.key, settled_zones_version_)) {
    moved_count_.add();
    reply.verdict = HolderVerdict::kUncertain;
    const auto wait = std::max(ownershipSettlesAt() - now, settings_.retry_after);
    reply.retry_after_us = static_cast<std::uint64_t>(wait.count());
    answered(reply);
    return;
  }
  if (entries_.size() >= settings_.maximum_claims) {
    full_count_.add();
    reply.verdict = HolderVerdict::kFull;
    answered(reply);
    return;
  }
  reply.verdict = HolderVerdict::kGranted;
  put(request.key,
      ClaimRecord{ClaimState::kInProgress, request.digest, request.claim, {}, request.zone},
      [this, reply, answered] {
        granted_count_.add();
        answered(reply);
      });
}

ClaimReply ClaimTable::evaluate(const ClaimRequest& request, const Entry& entry) const {
  ClaimReply reply;
  reply.claim = request.claim;
  reply.retry_after_us = static_cast<std::uint64_t>(settings_.retry_after.count());
  reply.verdict = HolderVerdict::kUncertain;
  if (entry.unreadable) {
    return reply;
  }
  if (entry.record.digest != request.digest) {
    reply.verdict = HolderVerdict::kDifferentBody;
  } else if (entry.record.state == ClaimState::kCompleted) {
    reply.verdict = HolderVerdict::kCompleted;
    reply.recorded_answer = entry.record.answer;
  } else if (entry.record.claim == request.claim) {
    reply.verdict = HolderVerdict::kGranted;
  } else if (claimerMayReport(entry.record)) {
    reply.verdict = HolderVerdict::kInProgress;
  }
  return reply;
}

void ClaimTable::report(const ClaimReport& report, const ReportStored& stored) {
  if (!authority_.heldEpoch()) {
    return;
  }
  const auto entry = entries_.find(report.key);
  const bool known = entry != entries_.end() && entry->second.record.claim == report.claim;
  if (known && entry->second.committing) {
    return;  // The claimer sends the report again.
  }
  const bool open = known && entry->second.record.state == ClaimState::kInProgress;
  const bool lost = entry == entries_.end() && report.completed;
  if (!open && !lost) {
    stored();
    return;
  }
  const auto state = report.completed ? ClaimState::kCompleted : ClaimState::kReleased;
  put(report.key,
      ClaimRecord{state, report.digest, report.claim, storableAnswer(report.answer), report.zone},
      stored);
}

std::string ClaimTable::storableAnswer(const std::string& answer) const {
  const bool fits = answer.size() <= settings_.maximum_answer_bytes &&
                    answer_bytes_ + answer.size() <= settings_.maximum_total_answer_bytes;
  if (!fits) {
    answer_dropped_count_.add();
  }
  return fits ? answer : std::string();
}

void ClaimTable::put(const std::string& key, ClaimRecord record, std::function<void()> committed) {
  Entry& entry = entries_[key];
  answer_bytes_ -= entry.record.answer.size();
  answer_bytes_ += record.answer.size();
  const bool released = record.state == ClaimState::kReleased;
  const auto keep = released ? settings_.released_retention : settings_.retention;
  const std::string payload = encode(record);
  const ClaimId claim = record.claim;
  entry = Entry{std::move(record), true, context_.clock.now() + keep};
  log_.replicate(RecordModule::kIdempotency, kClaimPrefix + key, payload,
                 [this, key, claim, committed = std::move(committed)](bool kept) {
                   const auto found = entries_.find(key);
                   if (!kept || found == entries_.end() || !(found->second.record.claim == claim)) {
                     return;
                   }
                   found->second.committing = false;
                   committed();
                 });
}

/// Nodes of other zones are assumed alive: their state is not known here.
bool ClaimTable::claimerMayReport(const ClaimRecord& record) const {
  if (record.zone != context_.zone) {
    return true;
  }
  const auto& members = membership_.members();
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& member) { return member.node == record.claim.node; });
}

}  // namespace cypresswall::idempotency
