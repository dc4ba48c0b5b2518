/// Compares the number of members that a node sees now with the largest number that it saw
/// recently.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/recent_maximum.h"

namespace cypresswall::fleet_limits {

/// Detects that a node sees only a minority of its fleet, as in a network partition. The other
/// nodes may then divide the fleet's limits among themselves, without this node.
class FleetSizeHistory {
 public:
  void add(std::size_t members, common::MonotonicTime now) {
    members_ = members;
    maximum_.add(members, now);
  }
  /// \return true if the node sees at most half as many members as at the recent maximum
  bool seesMinority() const { return members_ * kMinorityDivisor <= maximum_.value(); }
  /// \return the members that the node sees now as a fraction of the recent maximum; 1 if unknown
  double seenFraction() const {
    return maximum_.value() == 0
               ? 1.0
               : static_cast<double>(members_) / static_cast<double>(maximum_.value());
  }

 private:
  /// The recent maximum covers the last one to two of these spans (see RecentMaximum).
  static constexpr common::Duration kHistorySpan = std::chrono::minutes(10);
  /// The node sees a minority if the recent maximum is at least this many times the current number
  /// of members.
  static constexpr std::size_t kMinorityDivisor = 2;

  std::size_t members_ = 0;
  RecentMaximum maximum_{kHistorySpan};
};

}  // namespace cypresswall::fleet_limits
