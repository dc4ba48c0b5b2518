/// The part of a limit of the whole fleet that one node may use without asking anybody.
#pragma once

#include <cstddef>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/fleet_size_history.h"
#include "cypresswall/fleet_limits/recent_maximum.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

struct LocalShareSettings {
  /// Parts of the fleet that don't hear of each other's members; each gets the same share.
  std::size_t regions = 1;
  /// The span over which the limit is summed: what a node or its earlier life has used counts so
  /// long.
  common::Duration window = std::chrono::seconds(10);
  /// Until the last node knows that another one came, went, or was cut off: a silent node is taken
  /// for dead after 2.5 s, and the news of it is passed on for a second.
  common::Duration settling_time = std::chrono::seconds(5);
  /// Off: a node has its part from its start on. On: the sum is kept also when nodes restart.
  bool withhold_after_start = false;
};

/// One divided by the nodes of the fleet. The parts of all nodes add up to one at the most in each
/// window, whatever members they see:
///
/// A node that starts, or wakes from a pause, has nothing for a window and the settling time: its
/// earlier life may have used the part up, and others may still divide without it.
///
/// A node divides by the most members that it saw in that time: those that are lost have used their
/// parts long ago when the others take them over.
///
/// A node that sees no more than half of the most members of ten minutes takes itself for cut off
/// and has nothing: the others may divide without it. Once it sees more, it waits as after a start.
class LocalShare {
 public:
  LocalShare(const LocalShareSettings& settings, const api::ProcessContext& context,
             membership::MembershipView& membership);
  LocalShare(const LocalShare&) = delete;
  LocalShare& operator=(const LocalShare&) = delete;

  /// \return from 0 to 1; 0 if this node may use nothing
  double fraction() const;

 private:
  void check();
  bool wasPaused() const;
  void countMembers();
  /// Has nothing from now on until the wait is over.
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
