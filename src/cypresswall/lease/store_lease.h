/// The lease of a zone, or of a duty of the whole fleet, as one object of the platform's store, for
/// platforms whose store outlives any number of nodes. It is taken and renewed by conditional
/// writes, and only while its node has something to order: a calm zone makes no call.
/// docs/design/authority.md states the rules.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/lease/lease_record.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::lease {

struct StoreLeaseSettings {
  /// How long a write that took effect lets its writer act, counted from when it was sent.
  common::Duration duration = std::chrono::milliseconds(1500);
  /// Less this much, for clocks that differ in speed.
  common::Duration drift_margin = std::chrono::milliseconds(50);
  common::Duration renew_interval = std::chrono::milliseconds(500);
  /// From the end of one holder's time to act to the beginning of the next one's, at least: engines
  /// may get orders of the former one late, and must not get orders of two holders in turns.
  common::Duration handover_gap = std::chrono::milliseconds(3200);
  /// Before another call after one that failed.
  common::Duration retry_delay = std::chrono::milliseconds(300);
  common::Duration tick_interval = std::chrono::milliseconds(50);
};

/// The stored lease as a node last saw it.
struct SeenLease {
  /// Zero if there is none.
  std::uint64_t version = 0;
  LeaseRecord record;
  /// This version was there at this time, at the latest.
  common::MonotonicTime since{};
};

class StoreLease final : public AuthorityView {
 public:
  /// \param key of the lease's object in the store
  StoreLease(const StoreLeaseSettings& settings, std::string key,
             const api::ProcessContext& context, const membership::MembershipView& membership,
             object_store::ObjectStore& store);
  StoreLease(const StoreLease&) = delete;
  StoreLease& operator=(const StoreLease&) = delete;

  void start();
  /// Does not take or renew the lease any more; for a planned stop.
  void resign();

  std::optional<common::Epoch> heldEpoch() const override;
  /// \return the node that takes the lease once there is something to order: the one of the live
  ///   members with the highest rank, without a word exchanged.
  common::NodeId believedHolder() const override;
  common::Epoch highestEpoch() const override { return {0, seen_ ? seen_->record.term : 0}; }
  void onChange(std::function<void(std::optional<common::Epoch>)> listener) override;
  void setNeeded(bool needed) override { needed_ = needed; }
  void superseded(const common::Epoch& epoch) override;

 private:
  void tick();
  void act();
  void read();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  void write(std::uint32_t term);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  /// Notes the stored object, and how long this node may act if it wrote it.
  void observe(const object_store::StoredObject& object);
  void observeOwn(const std::string& change_id);
  bool owned() const;
  bool mayTakeOver() const;
  std::uint32_t nextTerm() const;
  bool running() const;
  void hold();
  void lose(const char* reason);
  void callAgainAfter(common::Duration delay);

  StoreLeaseSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  object_store::ObjectStore& store_;
  std::string key_;

  bool needed_ = false;
  bool resigned_ = false;
  bool call_in_flight_ = false;
  common::MonotonicTime next_call_at_{};
  std::optional<SeenLease> seen_;
  /// What was seen may have changed: it is read before the next write.
  bool seen_outdated_ = true;
  /// When this node's writes were sent, by their change identifiers. A write may take effect long
  /// after its answer was given up.
  std::map<std::string, common::MonotonicTime> sent_;
  std::uint64_t next_change_ = 0;
  common::MonotonicTime last_sent_{};
  common::MonotonicTime lease_until_{};
  /// Terms up to this one may not be used any more.
  std::uint32_t spent_term_ = 0;
  /// Told to the listeners as held.
  std::optional<common::Epoch> held_;
  std::vector<std::function<void(std::optional<common::Epoch>)>> listeners_;
  common::Counter& acquired_;
  common::Counter& lost_;
  common::Counter& unreadable_;
  bool unreadable_logged_ = false;
};

}  // namespace cypresswall::lease
