/// Collects the usage counts of all nodes and sums them up for each window.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/duties/collectors.h"
#include "cypresswall/duties/duty_platform.h"
#include "cypresswall/duties/fleet_time.h"
#include "cypresswall/duties/messages.h"
#include "cypresswall/duties/usage_settings.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// Every collector receives all counts, not only the one that reports them, so that no received
/// counts are lost as long as one collector survives. The counts of a node are kept after the node
/// has ended, until they have been reported.
class UsageCollector {
 public:
  /// Registers the handlers of UsageUpdate and ClockCorrection. \pre all references outlive this
  UsageCollector(const UsageSettings& settings, const api::ProcessContext& context,
                 const membership::MembershipView& membership, const Collectors& collectors,
                 FleetTime& time);
  UsageCollector(const UsageCollector&) = delete;
  UsageCollector& operator=(const UsageCollector&) = delete;

  void onUpdate(const common::NodeId& sender, const UsageUpdate& update);
  /// Forwards the counts of all nodes to collectors that were added since the last call. A node
  /// that has ended cannot send its counts to a new collector itself, and it may not have been
  /// detected as dead yet. \return the collectors that were added
  std::vector<common::NodeId> transferToNewCollectors();

  /// \return true once this collector has the final counts for the window from every member that
  ///   counts usage
  bool complete(std::uint64_t window) const;
  /// \return the number of members that count usage and whose final counts for the window have not
  ///   arrived
  std::size_t missingNodes(std::uint64_t window) const;
  /// \return the counts received for the window, summed over all nodes
  TenantCounts sum(std::uint64_t window) const;
  /// Discards the counts of all windows up to and including `window`.
  void discardThrough(std::uint64_t window);

 private:
  struct NodeCounts {
    std::uint64_t last_sequence = 0;
    /// True if a complete update was received and no later message was missed.
    bool gap_free = false;
    std::uint64_t closed_through = 0;
    std::map<std::uint64_t, TenantCounts> windows;
    /// Estimate of how far the node's time is ahead of this node's time: the largest difference
    /// between the time in a message and its time of arrival, since network delay only makes it
    /// smaller.
    std::optional<common::Duration> clock_offset;
    std::uint32_t clock_samples = 0;
  };

  bool reportsUsage(const membership::Member& member) const;
  void merge(NodeCounts& counts, const std::vector<WindowCounts>& windows) const;
  void recordClockSample(const common::NodeId& sender, NodeCounts& counts,
                         common::Duration sender_time);
  std::optional<common::Duration> medianClockOffset() const;

  const UsageSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const Collectors& ranking_;
  FleetTime& time_;
  std::map<common::NodeId, NodeCounts> nodes_;
  std::vector<common::NodeId> collectors_;
  std::uint64_t discarded_through_ = 0;
  common::Counter& resync_requests_;
  common::Counter& corrected_;
};

}  // namespace cypresswall::duties
