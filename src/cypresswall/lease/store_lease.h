/// The lease of a zone, or of a fleet-wide duty, as one object of the platform's store, for
/// platforms whose store survives the loss of any number of nodes. A node acquires and renews the
/// lease by compare-and-set, and only while it has orders to give: an idle zone makes no store
/// calls. If the store is restored from a copy, no node holds the lease until it has written it
/// again, under a term that no lost write can have used. docs/design/authority.md states the rules.
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
  /// Validity of the lease after a write that took effect, counted from when the write was sent.
  common::Duration duration = std::chrono::milliseconds(1500);
  /// Subtracted from `duration` by the holder to cover differing clock rates.
  common::Duration drift_margin = std::chrono::milliseconds(50);
  common::Duration renew_interval = std::chrono::milliseconds(500);
  /// Minimum time between the end of one holder's lease and the start of the next one's: orders of
  /// the former holder may reach engines late, and orders of two holders must not interleave.
  common::Duration handover_gap = std::chrono::milliseconds(3200);
  /// Delay before the next call after a failed one.
  common::Duration retry_delay = std::chrono::milliseconds(300);
  common::Duration tick_interval = std::chrono::milliseconds(50);
};

/// The stored lease as last read by this node.
struct SeenLease {
  /// Zero if no lease is stored.
  std::uint64_t version = 0;
  LeaseRecord record;
  /// Time at which this version was first seen; it may have been written earlier.
  common::MonotonicTime since{};
};

class StoreLease final : public AuthorityView {
 public:
  /// \param key key of the lease object in the store
  StoreLease(const StoreLeaseSettings& settings, std::string key,
             const api::ProcessContext& context, const membership::MembershipView& membership,
             object_store::ObjectStore& store);
  StoreLease(const StoreLease&) = delete;
  StoreLease& operator=(const StoreLease&) = delete;

  void start();
  /// Stops acquiring and renewing the lease; for a planned stop.
  void resign();

  std::optional<common::Epoch> heldEpoch() const override;
  /// \return the node that should acquire the lease once there are orders to give: the member with
  ///   the highest rendezvous rank, which each node computes without exchanging messages.
  common::NodeId believedHolder() const override;
  common::Epoch highestEpoch() const override { return {0, highest_term_}; }
  void onChange(std::function<void(std::optional<common::Epoch>)> listener) override;
  void setNeeded(bool needed) override { needed_ = needed; }
  void superseded(const common::Epoch& epoch) override;

 private:
  void tick();
  /// Gives up the lease if the store has begun a new incarnation.
  void checkIncarnation();
  void act();
  void read();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  void write(std::uint32_t term);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  /// Records the stored object and, if this node wrote it, extends the lease.
  void observe(const object_store::StoredObject& object);
  void observeOwn(const std::string& change_id);
  /// \return true if this process wrote the stored record in the store's present incarnation. One
  ///   from before a restore may have been succeeded by another holder's.
  bool writtenHere() const;
  bool owned() const;
  bool mayTakeOver() const;
  std::uint32_t nextTerm() const;
  bool running() const;
  void hold();
  void lose(const char* reason);
  void scheduleNextCall(common::Duration delay);

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
  /// Incarnation of the store that this lease has last acted in; zero if unknown.
  std::uint64_t incarnation_ = 0;
  /// After a restore of the store: until when a holder from before may consider itself the holder,
  /// and its orders may be on their way.
  common::MonotonicTime takeover_not_before_{};
  /// Highest term seen in any incarnation of the store.
  std::uint32_t highest_term_ = 0;
  /// True if the stored object may have changed since this node last saw it; the object is then
  /// read again before the next write.
  bool seen_outdated_ = true;
  /// Send times of this node's writes by change identifier. A write may take effect long after the
  /// wait for its answer timed out.
  std::map<std::string, common::MonotonicTime> sent_;
  std::uint64_t next_change_ = 0;
  common::MonotonicTime last_sent_{};
  common::MonotonicTime lease_until_{};
  /// This node must not use terms up to this one any more, since an engine has refused an order of
  /// this term; zero if no order was refused.
  std::uint32_t spent_term_ = 0;
  /// The epoch that this node holds according to the last call of the listeners; nothing if it
  /// holds none.
  std::optional<common::Epoch> held_;
  std::vector<std::function<void(std::optional<common::Epoch>)>> listeners_;
  common::Counter& acquired_;
  common::Counter& lost_;
  common::Counter& unreadable_;
  bool unreadable_logged_ = false;
};

}  // namespace cypresswall::lease
