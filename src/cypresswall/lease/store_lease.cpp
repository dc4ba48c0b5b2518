#include "cypresswall/lease/store_lease.h"

#include <algorithm>
#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::lease {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Maximum number of own writes whose late effect is still recognised.
constexpr std::size_t kRememberedWrites = 64;
/// Terms are numbered from the store's incarnation times two to this power, so that the first term
/// after a restore is higher than all terms of lost writes. A new term takes seconds, so that the
/// terms of one incarnation do not reach those of the next one.
constexpr unsigned kTermBitsPerIncarnation = 16;
constexpr std::uint64_t kMaximumIncarnation = (1U << (32 - kTermBitsPerIncarnation)) - 1;

std::uint32_t lastTermBefore(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(std::min(incarnation, kMaximumIncarnation)
                                    << kTermBitsPerIncarnation);
}

}  // namespace

StoreLease::StoreLease(const StoreLeaseSettings& settings, std::string key,
                       const api::ProcessContext& context,
                       const membership::MembershipView& membership,
                       object_store::ObjectStore& store)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      key_(std::move(key)),
      acquired_(context.counters.counter("cypresswall_store_lease_acquired_total",
                                         "Times that this node got the lease in the store")),
      lost_(context.counters.counter("cypresswall_store_lease_lost_total",
                                     "Times that this node lost or gave up the lease")),
      unreadable_(context.counters.counter("cypresswall_store_lease_unreadable_total",
                                           "Stored leases that could not be read")) {}

void StoreLease::start() { tick(); }

void StoreLease::resign() { resigned_ = true; }

bool StoreLease::running() const { return context_.clock.now() < lease_until_; }

std::optional<common::Epoch> StoreLease::heldEpoch() const {
  return held_ && running() && store_.incarnation() == incarnation_ ? held_ : std::nullopt;
}

common::NodeId StoreLease::believedHolder() const {
  return membership::rendezvousNode(key_, membership_.members());
}

void StoreLease::onChange(std::function<void(std::optional<common::Epoch>)> listener) {
  listeners_.push_back(std::move(listener));
}

void StoreLease::superseded(const common::Epoch& epoch) {
  spent_term_ = std::max(spent_term_, epoch.term);
  if (held_ == epoch) {
    lose("superseded");
    seen_outdated_ = true;
    scheduleNextCall(settings_.duration);
  }
}

void StoreLease::tick() {
  context_.scheduler.schedule(settings_.tick_interval, [this] { tick(); });
  checkIncarnation();
  if (held_ && !running()) {
    lose("expired");
  }
  if (needed_ && !resigned_ && !call_in_flight_ && context_.clock.now() >= next_call_at_) {
    act();
  }
}

void StoreLease::checkIncarnation() {
  const std::uint64_t before = std::exchange(incarnation_, store_.incarnation());
  if (before == incarnation_) {
    return;
  }
  if (held_) {
    lose("store restored");
  }
  seen_.reset();
  seen_outdated_ = true;
  sent_.clear();
  if (before != 0) {
    takeover_not_before_ = context_.clock.now() + settings_.duration + settings_.handover_gap;
  }
}

void StoreLease::act() {
  if (seen_outdated_) {
    read();
  } else if (owned()) {
    if (!running() || context_.clock.now() - last_sent_ >= settings_.renew_interval) {
      write(seen_->record.term);
    }
  } else if (mayTakeOver()) {
    write(nextTerm());
  }
}

bool StoreLease::writtenHere() const {
  return seen_->version != 0 && seen_->record.holder == context_.self &&
         seen_->record.store_incarnation == incarnation_;
}

bool StoreLease::owned() const { return writtenHere() && seen_->record.term > spent_term_; }

bool StoreLease::mayTakeOver() const {
  // The last holder's lease ends `duration` after that node sent the write that created the stored
  // version, so at the latest `duration` after this node first saw that version.
  const common::Duration wait = settings_.duration + settings_.handover_gap;
  if (context_.clock.now() < takeover_not_before_) {
    return false;
  }
  return seen_->version == 0 || writtenHere() || context_.clock.now() - seen_->since >= wait;
}

std::uint32_t StoreLease::nextTerm() const {
  return std::max({highest_term_, spent_term_, lastTermBefore(incarnation_)}) + 1;
}

void StoreLease::read() {
  call_in_flight_ = true;
  store_.get(key_, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void StoreLease::onRead(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  checkIncarnation();
  if (result.ok()) {
    observe(result.value());
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    seen_.emplace().since = context_.clock.now();
    seen_outdated_ = false;
  } else {
    scheduleNextCall(settings_.retry_delay);
  }
}

void StoreLease::write(std::uint32_t term) {
  object_store::ObjectWrite request;
  request.key = key_;
  request.expected_version = seen_->version;
  request.value = encodeLeaseRecord({context_.self, term, incarnation_});
  request.change_id = context_.self.toString() + "/" + std::to_string(++next_change_);
  last_sent_ = context_.clock.now();
  sent_[request.change_id] = last_sent_;
  if (sent_.size() > kRememberedWrites) {
    sent_.erase(std::min_element(sent_.begin(), sent_.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  call_in_flight_ = true;
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void StoreLease::onWritten(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  checkIncarnation();
  if (result.ok()) {
    observe(result.value());
    return;
  }
  seen_outdated_ = true;
  if (result.failure().kind != StoreFailure::kConflict) {
    scheduleNextCall(settings_.retry_delay);
  }
}

void StoreLease::observe(const StoredObject& object) {
  const bool changed = !seen_ || seen_->version != object.version;
  try {
    LeaseRecord record = decodeLeaseRecord(object.value);
    seen_outdated_ = false;
    highest_term_ = std::max(highest_term_, record.term);
    if (changed) {
      SeenLease& seen = seen_.emplace();
      seen.version = object.version;
      seen.record = std::move(record);
      seen.since = context_.clock.now();
    }
  } catch (const LeaseRecordError& error) {
    // An unreadable lease must not be overwritten: the new term could be lower than one that was
    // already used.
    seen_outdated_ = true;
    scheduleNextCall(settings_.duration + settings_.handover_gap);
    unreadable_.add();
    if (!std::exchange(unreadable_logged_, true)) {
      common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_lease_unreadable")
          .field("key", key_)
          .field("version", object.version)
          .field("reason", error.what());
    }
    return;
  }
  if (owned()) {
    observeOwn(object.change_id);
  } else if (held_) {
    lose("taken over");
  }
}

void StoreLease::observeOwn(const std::string& change_id) {
  const auto sent = sent_.find(change_id);
  if (sent == sent_.end()) {
    return;
  }
  lease_until_ = std::max(lease_until_, sent->second + settings_.duration - settings_.drift_margin);
  if (running() && !held_) {
    hold();
  }
}

void StoreLease::hold() {
  held_ = common::Epoch{0, seen_->record.term};
  acquired_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "lease_acquired")
      .field("zone", context_.zone)
      .field("key", key_)
      .field("epoch", held_->toString())
      .field("version", seen_->version);
  for (const auto& listener : listeners_) {
    listener(held_);
  }
}

void StoreLease::lose(const char* reason) {
  common::LogEvent(context_.log, common::LogLevel::kInfo, "lease_lost")
      .field("zone", context_.zone)
      .field("key", key_)
      .field("epoch", held_->toString())
      .field("needed", needed_)
      .field("reason", reason);
  lost_.add();
  held_.reset();
  lease_until_ = context_.clock.now();
  for (const auto& listener : listeners_) {
    listener(std::nullopt);
  }
}

void StoreLease::scheduleNextCall(common::Duration delay) {
  next_call_at_ = context_.clock.now() + delay;
}

}  // namespace cypresswall::lease
