/// The share of a fleet-wide limit that one node may use without coordination.
#pragma once

#include <cstddef>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/fleet_size_history.h"
#include "cypresswall/fleet_limits/recent_maximum.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

struct LocalShareSettings {
  /// Number of regions in the fleet. Each region gets an equal share of the limit, since nodes do
  /// not see the members of other regions.
  std::size_t regions = 1;
  /// Length of the time window that the limit applies to. What a node has used counts against the
  /// limit for this long, even if the node's process has restarted since.
  common::Duration window = std::chrono::seconds(10);
  /// Time after which all nodes are assumed to know that a node joined, left or was partitioned: a
  /// node without heartbeats is declared dead after 2.5 s, and gossip takes about a second to
  /// spread it.
  common::Duration settling_time = std::chrono::seconds(5);
  /// False: a node may use its share at all times. True: the share is zero for some time after a
  /// start, a pause or a partition, so that the total stays within the limit when nodes restart or
  /// are cut off.
  bool withhold_after_start = false;
  /// Gauge that shows the share.
  std::string gauge = "cypresswall_fleet_limits_part";
};

/// One divided by the number of nodes in the fleet, which is taken to be the number of members that
/// this node sees times the number of regions. If LocalShareSettings::withhold_after_start is set,
/// the shares used in any window add up to at most one, even while member lists differ, because of
/// three rules:
///
/// A node that starts, or resumes after a pause, has no share for one window plus the settling
/// time: its previous incarnation may have used the share, and other nodes may still divide the
/// limit by a number of nodes that does not include this one.
///
/// A node divides by the largest number of members that it saw during at least the last window plus
/// the settling time. It thus takes over the shares of lost nodes only after what those nodes used
/// has left the window.
///
/// A node that sees at most half as many members as at the maximum of the last ten minutes or more
/// (see FleetSizeHistory) assumes that it is partitioned. It has no share, as the other nodes may
/// divide the limit without it. Once it sees more members, its share is withheld as after a start.
class LocalShare {
 public:
  LocalShare(const LocalShareSettings& settings, const api::ProcessContext& context,
             membership::MembershipView& membership);
  LocalShare(const LocalShare&) = delete;
  LocalShare& operator=(const LocalShare&) = delete;

  /// \return from 0 to 1; 0 while the share is withheld
  double fraction() const;

 private:
  void check();
  bool wasPaused() const;
  void countMembers();
  /// Withholds the share for one window plus the settling time.
  void withhold(const char* reason);

  const LocalShareSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  RecentMaximum members_max_;
  FleetSizeHistory size_history_;
  common::MonotonicTime allowed_at_;
  common::MonotonicTime checked_at_;
  bool cut_off_ = false;
  common::Counter& part_gauge_;
};

}  // namespace cypresswall::fleet_limits
