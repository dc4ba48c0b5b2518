/// Compares the current number of members with the largest one of the last minutes.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/recent_maximum.h"

namespace cypresswall::fleet_limits {

/// Detects that a node sees only a minority of its fleet, as in a network partition. The majority
/// may then use the limits without this node.
class FleetSizeHistory {
 public:
  void add(std::size_t members, common::MonotonicTime now) {
    members_ = members;
    maximum_.add(members, now);
  }
  /// \return true if the node sees no more than half of the largest recent membership
  bool seesMinority() const { return members_ * kMinorityDivisor <= maximum_.value(); }

 private:
  static constexpr common::Duration kHistorySpan = std::chrono::minutes(10);
  /// A node sees a minority unless it sees more than the maximum divided by this.
  static constexpr std::size_t kMinorityDivisor = 2;

  std::size_t members_ = 0;
  RecentMaximum maximum_{kHistorySpan};
};

}  // namespace cypresswall::fleet_limits
