/// Sums up the usage counts of all nodes.
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

/// Runs on each collector, whether or not it reports, so that no counts are lost as long as one
/// collector survives. The counts of a node are kept after it has ended.
class UsageCollector {
 public:
  /// Registers the handlers of UsageUpdate and ClockCorrection. \pre all references outlive this
  UsageCollector(const UsageSettings& settings, const api::ProcessContext& context,
                 const membership::MembershipView& membership, const Collectors& collectors,
                 FleetTime& time);
  UsageCollector(const UsageCollector&) = delete;
  UsageCollector& operator=(const UsageCollector&) = delete;

  void onUpdate(const common::NodeId& sender, const UsageUpdate& update);
  /// Forwards the counts of all nodes to new collectors: a node that has ended, possibly without
  /// having been detected as dead yet, cannot send them again.
  void transferToNewCollectors();

  /// \return true once the counts of every member for the window are final
  bool complete(std::uint64_t window) const;
  /// \return the number of members whose counts for the window are not final yet
  std::size_t missingNodes(std::uint64_t window) const;
  /// \return the sums of the counts received for a window
  TenantCounts sum(std::uint64_t window) const;
  /// Discards windows up to this one.
  void discardThrough(std::uint64_t window);

 private:
  struct NodeCounts {
    std::uint64_t last_sequence = 0;
    /// True if no message was missed since the last complete one.
    bool gap_free = false;
    std::uint64_t closed_through = 0;
    std::map<std::uint64_t, TenantCounts> windows;
    /// How far the node's time was ahead of this node's in its last messages, less network delay.
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
