#include "cypresswall/zone_object/zone_object.h"

#include <algorithm>
#include <utility>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::zone_object {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Delay between a membership change and the check of who owns the object. While a zone starts,
/// many changes follow each other, and without the delay the ownership would move from node to
/// node. The delay must be short, as nodes must know the value within three seconds of their start.
constexpr common::Duration kSettlingTime = std::chrono::milliseconds(200);
/// Interval at which a node that sees no other node reads the object. The interval must be short,
/// as nodes must know the value within three seconds.
constexpr common::Duration kIsolatedReadInterval = std::chrono::seconds(1);
/// Time that an owner leaves to each owner before it for the write of a change.
constexpr common::Duration kTimePerOwner = std::chrono::milliseconds(500);
/// Interval at which nodes check whether the store was restored.
constexpr common::Duration kIncarnationCheckInterval = std::chrono::milliseconds(500);

}  // namespace

ZoneObject::ZoneObject(ZoneObjectSettings settings, const api::ProcessContext& context,
                       membership::MembershipView& membership, object_store::ObjectStore& store,
                       Callbacks callbacks, common::Counter& failures)
    : settings_(std::move(settings)),
      context_(context),
      membership_(membership),
      store_(store),
      callbacks_(std::move(callbacks)),
      failures_(failures) {}

void ZoneObject::start() {
  started_ = true;
  membership_.onChange([this] { reconcileAfter(kSettlingTime); });
  reconcileAfter(kSettlingTime);
  watchIncarnation();
}

void ZoneObject::watchIncarnation() {
  context_.scheduler.schedule(kIncarnationCheckInterval, [this] { watchIncarnation(); });
  checkIncarnation();
}

void ZoneObject::checkIncarnation() {
  const std::uint64_t before = std::exchange(incarnation_, store_.incarnation());
  if (before != incarnation_ && stored_) {
    stored_.reset();
    reconcileAfter(common::Duration{0});
  }
}

void ZoneObject::valueChanged() {
  const std::size_t rank = started_ ? ownerRank().value_or(0) : 0;
  if (rank > 0) {
    stored_.reset();
  }
  reconcileAfter(kTimePerOwner * static_cast<std::int64_t>(rank));
}

void ZoneObject::reconcileAfter(common::Duration delay) {
  if (!started_ || reconcile_timer_ != 0) {
    return;
  }
  reconcile_timer_ = context_.scheduler.schedule(delay, [this] {
    reconcile_timer_ = 0;
    reconcile();
  });
}

void ZoneObject::reconcile() {
  if (call_in_flight_) {
    return;
  }
  if (membership_.joining()) {
    reconcileAfter(kSettlingTime);
    return;
  }
  if (!ownerRank()) {
    has_seen_others_ = true;
    stored_.reset();
    return;
  }
  checkIncarnation();
  const auto now = context_.clock.now();
  if (now < next_call_at_) {
    reconcileAfter(next_call_at_ - now);
    return;
  }
  if (!stored_) {
    read();
    return;
  }
  if (auto value = callbacks_.newValue(stored_->value)) {
    write(std::move(*value));
  } else if (isolated()) {
    stored_.reset();
    reconcileAfter(kIsolatedReadInterval);
  }
}

bool ZoneObject::isolated() {
  const bool alone = callbacks_.members().size() <= 1;
  has_seen_others_ = has_seen_others_ || !alone;
  return alone && has_seen_others_;
}

std::optional<std::size_t> ZoneObject::ownerRank() const {
  const auto nodes = owners();
  const auto own = std::find(nodes.begin(), nodes.end(), context_.self);
  return own == nodes.end() ? std::nullopt
                            : std::make_optional(static_cast<std::size_t>(own - nodes.begin()));
}

std::vector<common::NodeId> ZoneObject::owners() const {
  return membership::rendezvousNodes(settings_.key, callbacks_.members(), settings_.owners);
}

void ZoneObject::read() {
  call_in_flight_ = true;
  store_.get(settings_.key, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void ZoneObject::onRead(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  checkIncarnation();
  if (result.ok()) {
    stored_ = Stored{result.value().version, result.value().value};
    callbacks_.onRead(stored_->value);
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    stored_ = Stored{};
    callbacks_.onRead(stored_->value);
  } else {
    storeFailed();
  }
  reconcileAfter(common::Duration{0});
}

void ZoneObject::storeFailed() {
  failures_.add();
  next_call_at_ = context_.clock.now() + settings_.retry_delay;
}

void ZoneObject::write(std::string value) {
  object_store::ObjectWrite request;
  request.key = settings_.key;
  request.expected_version = stored_->version;
  request.value = std::move(value);
  request.change_id = context_.self.toString() + "/" + std::to_string(++next_change_);
  call_in_flight_ = true;
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void ZoneObject::onWritten(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  if (result.ok()) {
    stored_ = Stored{result.value().version, result.value().value};
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

}  // namespace cypresswall::zone_object
