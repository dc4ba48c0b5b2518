/// The share of a fleet-wide limit that one node may use without coordination.
#pragma once

#include <cstddef>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/fleet_size_history.h"
#include "cypresswall/fleet_limits/recent_maximum.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

struct LocalShareSettings {
  /// Number of regions. Nodes do not see the members of other regions; each region gets an equal
  /// share.
  std::size_t regions = 1;
  /// Window over which the limit is summed. What a node or its previous incarnation used counts for
  /// this long.
  common::Duration window = std::chrono::seconds(10);
  /// Time until all nodes have learnt that a node joined, left or was partitioned: a node without
  /// heartbeats is declared dead after 2.5 s, and gossip takes about a second to spread it.
  common::Duration settling_time = std::chrono::seconds(5);
  /// False: a node may use its share from its start. True: the share is withheld after a start, so
  /// that the total stays within the limit when nodes restart.
  bool withhold_after_start = false;
};

/// One divided by the number of nodes in the fleet. The shares used in any window add up to at most
/// one, even while member lists differ:
///
/// A node that starts, or resumes after a pause, has no share for one window plus the settling
/// time: its previous incarnation may have used the share, and others may still divide without this
/// node.
///
/// A node divides by the largest number of members that it saw in that time, so that it takes over
/// the shares of lost nodes only after their use has left the window.
///
/// A node that sees no more than half of the largest membership of ten minutes assumes that it is
/// partitioned and has no share, as the others may divide without it. Once it sees more, its share
/// is withheld as after a start.
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
