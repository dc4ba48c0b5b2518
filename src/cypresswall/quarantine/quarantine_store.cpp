#include "cypresswall/quarantine/quarantine_store.h"

#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::quarantine {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// After a change of members, in which more may come: a zone that starts would otherwise have
/// several keepers one after the other. Nodes have to know the list three seconds after their
/// start.
constexpr common::Duration kSettlingTime = std::chrono::milliseconds(200);
/// Between two reads of a node that sees no other. Nodes have to know the list within three
/// seconds.
constexpr common::Duration kDesertedInterval = std::chrono::seconds(1);

}  // namespace

QuarantineStore::QuarantineStore(const QuarantineSettings& settings,
                                 const api::ProcessContext& context,
                                 membership::MembershipView& membership,
                                 object_store::ObjectStore& store, Interfaces interfaces)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      interfaces_(std::move(interfaces)),
      key_("quarantine/" + context.zone),
      failures_(context.counters.counter("cypresswall_quarantine_store_failures_total",
                                         "Calls to the store for the quarantine that failed")),
      unreadable_(context.counters.counter("cypresswall_quarantine_store_unreadable_total",
                                           "Stored quarantines that could not be read")) {}

void QuarantineStore::start() {
  started_ = true;
  membership_.onChange([this] { lookAfter(kSettlingTime); });
  lookAfter(kSettlingTime);
}

void QuarantineStore::lookAfter(common::Duration delay) {
  if (!started_ || look_timer_ != 0) {
    return;
  }
  look_timer_ = context_.scheduler.schedule(delay, [this] {
    look_timer_ = 0;
    look();
  });
}

void QuarantineStore::look() {
  if (call_under_way_) {
    return;
  }
  if (membership_.joining()) {
    lookAfter(kSettlingTime);
    return;
  }
  if (!keeper()) {
    has_seen_others_ = true;
    stored_.reset();
    return;
  }
  const auto now = context_.clock.now();
  if (now < next_call_at_) {
    lookAfter(next_call_at_ - now);
    return;
  }
  if (!stored_) {
    read();
    return;
  }
  const auto present = interfaces_.present();
  if (present != stored_->requests) {
    write(present);
  } else if (deserted()) {
    stored_.reset();
    lookAfter(kDesertedInterval);
  }
}

bool QuarantineStore::deserted() {
  const bool alone = interfaces_.members().size() <= 1;
  has_seen_others_ = has_seen_others_ || !alone;
  return alone && has_seen_others_;
}

bool QuarantineStore::keeper() const {
  return membership::rendezvousNode(key_, interfaces_.members()) == context_.self;
}

void QuarantineStore::read() {
  call_under_way_ = true;
  store_.get(key_, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void QuarantineStore::onRead(const StoreResult<StoredObject>& result) {
  call_under_way_ = false;
  if (result.ok()) {
    observe(result.value());
    interfaces_.take(stored_->requests);
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    stored_.emplace();
    version_ = 0;
  } else {
    storeFailed();
  }
  lookAfter(common::Duration{0});
}

void QuarantineStore::storeFailed() {
  failures_.add();
  next_call_at_ = context_.clock.now() + settings_.store_retry_delay;
}

void QuarantineStore::write(const std::vector<common::RequestFingerprint>& requests) {
  object_store::ObjectWrite request;
  request.key = key_;
  request.expected_version = version_;
  request.value = encodeStoredQuarantine({requests, stored_->origin});
  request.change_id = context_.self.toString() + "/" + std::to_string(++next_change_);
  call_under_way_ = true;
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void QuarantineStore::onWritten(const StoreResult<StoredObject>& result) {
  call_under_way_ = false;
  if (result.ok()) {
    observe(result.value());
  } else {
    // Another keeper may have written, or the write took effect unheard.
    stored_.reset();
    if (result.failure().kind != StoreFailure::kConflict) {
      storeFailed();
    }
  }
  lookAfter(common::Duration{0});
}

void QuarantineStore::observe(const StoredObject& object) {
  version_ = object.version;
  try {
    stored_ = decodeStoredQuarantine(object.value);
  } catch (const StoredQuarantineError& error) {
    // Nothing in it can be kept away; the next write replaces it.
    stored_.emplace();
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_quarantine_unreadable")
        .field("key", key_)
        .field("version", object.version)
        .field("reason", error.what());
  }
}

}  // namespace cypresswall::quarantine
