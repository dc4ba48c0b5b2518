/// How much of its fleet a node sees, by the members of the last minutes.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/recent_maximum.h"

namespace cypresswall::fleet_limits {

/// Notices that a node sees only the smaller part of its fleet, as one that is cut off does: the
/// others may divide limits without it.
class FleetSizeHistory {
 public:
  void add(std::size_t members, common::MonotonicTime now) {
    members_ = members;
    maximum_.add(members, now);
  }
  /// \return true if the node sees no more than half of the most members
  bool seesMinority() const { return members_ * kMinorityDivisor <= maximum_.value(); }

 private:
  static constexpr common::Duration kHistorySpan = std::chrono::minutes(10);
  /// A node needs to see more than the most members divided by this.
  static constexpr std::size_t kMinorityDivisor = 2;

  std::size_t members_ = 0;
  RecentMaximum maximum_{kHistorySpan};
};

}  // namespace cypresswall::fleet_limits
