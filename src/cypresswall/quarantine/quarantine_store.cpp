#include "cypresswall/quarantine/quarantine_store.h"

#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::quarantine {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Delay between a membership change and the check of who owns the object. While a zone starts,
/// many changes follow each other, and without the delay the ownership would move from node to
/// node. The delay must be short, as a node must know the list within three seconds of its start.
constexpr common::Duration kSettlingTime = std::chrono::milliseconds(200);
/// Interval at which a node that sees no other node reads the object. The interval must be short,
/// as nodes must know the list within three seconds.
constexpr common::Duration kIsolatedReadInterval = std::chrono::seconds(1);

}  // namespace

QuarantineStore::QuarantineStore(const QuarantineSettings& settings,
                                 const api::ProcessContext& context,
                                 membership::MembershipView& membership,
                                 object_store::ObjectStore& store, Callbacks callbacks)
    : settings_(settings),
      context_(context),
      membership_(membership),
      store_(store),
      callbacks_(std::move(callbacks)),
      key_("quarantine/" + context.zone),
      failures_(context.counters.counter("cypresswall_quarantine_store_failures_total",
                                         "Calls to the store for the quarantine that failed")),
      unreadable_(context.counters.counter("cypresswall_quarantine_store_unreadable_total",
                                           "Stored quarantines that could not be read")) {}

void QuarantineStore::start() {
  started_ = true;
  membership_.onChange([this] { reconcileAfter(kSettlingTime); });
  reconcileAfter(kSettlingTime);
}

void QuarantineStore::reconcileAfter(common::Duration delay) {
  if (!started_ || reconcile_timer_ != 0) {
    return;
  }
  reconcile_timer_ = context_.scheduler.schedule(delay, [this] {
    reconcile_timer_ = 0;
    reconcile();
  });
}

void QuarantineStore::reconcile() {
  if (call_in_flight_) {
    return;
  }
  if (membership_.joining()) {
    reconcileAfter(kSettlingTime);
    return;
  }
  if (!isOwner()) {
    has_seen_others_ = true;
    stored_.reset();
    return;
  }
  const auto now = context_.clock.now();
  if (now < next_call_at_) {
    reconcileAfter(next_call_at_ - now);
    return;
  }
  if (!stored_) {
    read();
    return;
  }
  const auto present = callbacks_.present();
  if (present != stored_->requests) {
    write(present);
  } else if (isolated()) {
    stored_.reset();
    reconcileAfter(kIsolatedReadInterval);
  }
}

bool QuarantineStore::isolated() {
  const bool alone = callbacks_.members().size() <= 1;
  has_seen_others_ = has_seen_others_ || !alone;
  return alone && has_seen_others_;
}

bool QuarantineStore::isOwner() const {
  return membership::rendezvousNode(key_, callbacks_.members()) == context_.self;
}

void QuarantineStore::read() {
  call_in_flight_ = true;
  store_.get(key_, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void QuarantineStore::onRead(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  if (result.ok()) {
    observe(result.value());
    callbacks_.restore(stored_->requests);
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    stored_.emplace();
    version_ = 0;
  } else {
    storeFailed();
  }
  reconcileAfter(common::Duration{0});
}

void QuarantineStore::storeFailed() {
  failures_.add();
  next_call_at_ = context_.clock.now() + settings_.store_retry_delay;
}

void QuarantineStore::write(const std::vector<common::RequestFingerprint>& requests) {
  object_store::ObjectWrite request;
  request.key = key_;
  request.expected_version = version_;
  request.value = encodeStoredQuarantine({requests, stored_->original_text});
  request.change_id = context_.self.toString() + "/" + std::to_string(++next_change_);
  call_in_flight_ = true;
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void QuarantineStore::onWritten(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  if (result.ok()) {
    observe(result.value());
  } else {
    // Another node that considers itself the owner may have written the object, or this write took
    // effect but its answer was lost. The object is therefore read again.
    stored_.reset();
    if (result.failure().kind != StoreFailure::kConflict) {
      storeFailed();
    }
  }
  reconcileAfter(common::Duration{0});
}

void QuarantineStore::observe(const StoredObject& object) {
  version_ = object.version;
  try {
    stored_ = decodeStoredQuarantine(object.value);
  } catch (const StoredQuarantineError& error) {
    // An unreadable object is treated as an empty list; the next write replaces it.
    stored_.emplace();
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_quarantine_unreadable")
        .field("key", key_)
        .field("version", object.version)
        .field("reason", error.what());
  }
}

}  // namespace cypresswall::quarantine
