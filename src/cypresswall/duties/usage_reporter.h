/// Reports the usage of the fleet to the platform, with one report for each time window.
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
#include "cypresswall/duties/report_copies.h"
#include "cypresswall/duties/usage_collector.h"
#include "cypresswall/duties/usage_ledger.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::duties {

/// Status of a window's report, shown to operators.
struct ReportedWindow {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  std::size_t tenants = 0;
  /// Fencing token under which this node sent the report; zero while the report is pending.
  std::uint32_t token = 0;
  /// Number of nodes whose final counts had not arrived when the report was stored.
  std::size_t nodes_missing = 0;
  common::MonotonicTime at{};
};

/// Does nothing on nodes that are not collectors. The first collector reports; if the report of a
/// window is late, the next collector takes over, and so on in their order. The counts of a window
/// are stored in the usage ledger by a conditional write before they are sent; a node that takes
/// over sends the stored counts.
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
  /// \return true if it is this node's turn to report a window, for which it needs the lease
  bool needed() const { return needed_; }
  /// \return the windows that this node stored or reported recently, oldest first
  const std::deque<ReportedWindow>& windows() const { return windows_; }
  /// \return the last window whose report is completed (see UsageReportedThrough), as far as this
  ///   node knows
  std::uint64_t reportedThrough() const { return reported_through_; }

 private:
  void tick();
  /// Tells collectors that were added which windows were reported, and with which counts.
  void informNewCollectors();
  void watchIncarnation();
  /// \return this node's rank among the collectors, zero for the first; nothing if it is not a
  ///   collector
  std::optional<std::size_t> rank() const;
  bool reportingDue(std::size_t rank) const;
  void advance();
  void readLedger();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  /// Stores the reports of all windows that are due in the usage ledger. \return true if a write
  /// was started
  bool fixDueWindows();
  /// Gives up windows that are too old, and those after the last fixed one of which this node can't
  /// tell whether they were reported.
  void giveUpWindows();
  void giveUpThrough(std::uint64_t window, const char* reason);
  /// \return true if the window may have been reported before the store was restored from a copy,
  ///   with counts that this node doesn't know
  bool mayHaveBeenReported(std::uint64_t window) const;
  /// Marks the windows that a ledger of an earlier incarnation of the store may lack.
  void recordLostReports(UsageLedger& ledger) const;
  bool due(std::uint64_t window) const;
  void writeLedger(UsageLedger ledger);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  void observe(const object_store::StoredObject& object);
  void skipReportedWindows(UsageLedger& ledger) const;
  void send(const UsageReport& report);
  void onSent(const UsageReport& report, const common::Epoch& epoch,
              std::optional<DutyFailure> failure);
  void replicateThenSend(const UsageReport& report);
  /// Records that somebody has said that the reports up to and including `window` are completed.
  void markReportedThrough(std::uint64_t window);
  void retryAfter(common::Duration delay);
  common::Duration windowEnd(std::uint64_t window) const {
    return settings_.window * static_cast<std::int64_t>(window + 1);
  }
  std::uint64_t currentWindow() const {
    return static_cast<std::uint64_t>(time_.now() / settings_.window);
  }
  void recordFixed(const UsageReport& report);
  void recordReported(const UsageReport& report, std::uint32_t token);

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

  /// The usage ledger as last read or written by this node. Empty if it must be read before the
  /// next report.
  std::optional<UsageLedger> ledger_;
  std::uint64_t ledger_version_ = 0;
  std::uint32_t ledger_token_ = 0;
  /// Last window that needs no report by this node. At the start this is the last window that had
  /// ended, whether it was reported or not.
  std::uint64_t reported_through_ = 0;
  /// Last window whose report is completed, as this node, a lease holder or the ledger has said. An
  /// older ledger can't deny it.
  std::uint64_t confirmed_through_ = 0;
  ReportCopies copies_;
  /// Latest known incarnation of the store, and when this node learned of it (FleetTime).
  std::uint64_t incarnation_ = 0;
  common::Duration incarnation_seen_at_{};
  /// Time at which this node became a collector; nothing if it is not a collector.
  std::optional<common::MonotonicTime> collector_since_;
  bool needed_ = false;
  bool call_in_flight_ = false;
  common::MonotonicTime next_call_at_{};
  std::uint64_t next_change_ = 0;
  std::deque<ReportedWindow> windows_;
  common::Counter& reported_;
  common::Counter& failed_;
  common::Counter& given_up_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::duties
