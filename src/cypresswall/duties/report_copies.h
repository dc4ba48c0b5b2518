/// Copies of usage reports on the collectors, for the case that the store forgets them: a store
/// that was restored from a copy may lack windows that were reported, whose counts must not be
/// reported anew.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/messages.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// The lease holder sends each report to the other collectors and waits until they have confirmed
/// it, before it sends the report to the platform. Whichever collector reports next thus knows all
/// reports that the platform may have accepted, unless it became a collector only later and no
/// earlier collector was left to tell it.
class ReportCopies {
 public:
  /// Registers the handlers of UsageReportCopies and UsageReportCopiesStored.
  /// \pre all references outlive this object
  ReportCopies(const UsageSettings& settings, const api::ProcessContext& context,
               const membership::MembershipView& membership, const Collectors& collectors);
  ReportCopies(const ReportCopies&) = delete;
  ReportCopies& operator=(const ReportCopies&) = delete;

  /// Stores a copy of the report and sends it to the other collectors, unless that has been done
  /// under this token. \param token fencing token of this node, which holds the lease
  void replicate(const UsageReport& report, std::uint32_t token);
  /// \return true if all other collectors have confirmed their copy of the window's report, or if
  ///   UsageSettings::replication_timeout has passed
  bool replicated(std::uint64_t window) const;
  /// \return the number of other collectors that have not confirmed their copy
  std::size_t unconfirmed(std::uint64_t window) const;
  /// \return the counts of the latest copy of the window's report
  std::optional<TenantCounts> countsOf(std::uint64_t window) const;

  /// To be called when this node becomes a collector. \param window the current window
  void collectsSince(std::uint64_t window);
  /// To be called when this node is no collector any more.
  void collectsNoMore();
  /// \return true if no report of the window can have been sent without a copy on this node
  bool complete(std::uint64_t window) const { return window > complete_after_; }
  /// Discards the copies of all windows up to and including `window`.
  void discardThrough(std::uint64_t window);
  /// Sends all copies to collectors that were added.
  void transferTo(const std::vector<common::NodeId>& added) const;

 private:
  static constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

  /// A report that this node is about to send, or has sent.
  struct Replication {
    std::uint32_t token = 0;
    std::uint64_t attempt = 0;
    common::MonotonicTime started_at{};
    std::set<common::NodeId> confirmed;
  };

  void onCopies(const common::NodeId& sender, const UsageReportCopies& message);
  void onStored(const common::NodeId& sender, const UsageReportCopiesStored& message);
  void store(const UsageReportCopy& copy);
  /// \return the other collectors whose build keeps copies
  std::vector<common::NodeId> otherCollectors() const;
  std::vector<common::NodeId> unconfirmed(const Replication& replication) const;

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& collectors_;
  /// By window; limited to UsageSettings::maximum_backlog_windows, as are `replications_`.
  std::map<std::uint64_t, UsageReportCopy> copies_;
  std::map<std::uint64_t, Replication> replications_;
  std::uint64_t complete_after_ = kNever;
  /// The lowest UsageReportCopies::complete_after that was received recently. It may arrive before
  /// this node learns that it is a collector.
  std::uint64_t transferred_after_ = kNever;
  common::MonotonicTime transferred_at_{};
  std::uint64_t next_attempt_ = 0;
};

}  // namespace cypresswall::duties
