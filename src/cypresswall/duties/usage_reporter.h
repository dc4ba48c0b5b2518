/// Reports the fleet's usage to the platform, once for each window of time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/fleet_time.h"
#include "cypresswall/duties/usage_collector.h"
#include "cypresswall/duties/usage_ledger.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::duties {

/// A window as operators see it.
struct ReportedWindow {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  std::size_t tenants = 0;
  /// Under which fencing token it was reported here; zero if it waits.
  std::uint32_t token = 0;
  /// Nodes that had not told all of it when it was fixed.
  std::size_t nodes_missing = 0;
  common::MonotonicTime at{};
};

/// Works on collectors only; the first of them takes the duty, and the others one after the other
/// where a window is late. What is to be said of a window is first written to the store under a
/// condition, then sent; a successor sends what it finds there.
class UsageReporter {
 public:
  /// \pre all references outlive this object
  UsageReporter(const UsageSettings& settings, const api::ProcessContext& context,
                const membership::MembershipView& membership, const Collectors& collectors,
                common::MachineName machine, const FleetTime& time, UsageCollector& collector,
                lease::AuthorityView& authority, object_store::ObjectStore& store,
                DutyPlatform& platform);
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  void start();
  /// \return true if this node has something to report and should hold the duty's lease
  bool needed() const { return needed_; }
  /// \return the windows that this node fixed or reported lately, the oldest first
  const std::deque<ReportedWindow>& windows() const { return windows_; }
  /// \return the last window whose report the platform has taken, as far as this node knows
  std::uint64_t settledThrough() const { return settled_through_; }

 private:
  void tick();
  /// \return this node's place in the order of collectors; nothing if it is none
  std::optional<std::size_t> place() const;
  bool late(std::size_t place) const;
  void act();
  void readLedger();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  /// \return true if something is written
  bool fixDueWindows();
  bool due(std::uint64_t window) const;
  void writeLedger(const UsageLedger& ledger);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  void observe(const object_store::StoredObject& object);
  void send(const UsageReport& report);
  void onSent(const UsageReport& report, const common::Epoch& epoch,
              std::optional<DutyFailure> failure);
  void settle(std::uint64_t window);
  void callAgainAfter(common::Duration delay);
  common::Duration endOf(std::uint64_t window) const {
    return settings_.window * static_cast<std::int64_t>(window + 1);
  }
  std::uint64_t currentWindow() const {
    return static_cast<std::uint64_t>(time_.now() / settings_.window);
  }
  void noteFixed(const UsageReport& report);
  void noteReported(const UsageReport& report, std::uint32_t token);

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& collectors_;
  const common::MachineName machine_;
  const FleetTime& time_;
  UsageCollector& collector_;
  lease::AuthorityView& authority_;
  object_store::ObjectStore& store_;
  DutyPlatform& platform_;

  /// Nothing until it was read under the present authority.
  std::optional<UsageLedger> ledger_;
  std::uint64_t ledger_version_ = 0;
  std::uint32_t ledger_token_ = 0;
  std::uint64_t settled_through_ = 0;
  /// Since when this node has been a collector; nothing if it is none.
  std::optional<common::MonotonicTime> collector_since_;
  bool needed_ = false;
  bool call_under_way_ = false;
  common::MonotonicTime next_call_at_{};
  std::uint64_t next_change_ = 0;
  std::deque<ReportedWindow> windows_;
  common::Counter& reported_;
  common::Counter& failed_;
  common::Counter& given_up_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::duties
