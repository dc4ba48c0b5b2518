/// Max-min fair division of a capacity among claimants (water filling).
#pragma once

#include <vector>

namespace cypresswall::fleet_limits {

struct ShareClaim {
  /// Units per second that the claimant asks for; not negative.
  double demand = 0;
  /// Positive.
  double weight = 1;
};

/// \return the level at which the capacity is used up if each claimant gets the smaller of its
///   demand and its weight times the level; infinity if the capacity covers all demands, zero if
///   there is no capacity
double waterLevel(std::vector<ShareClaim> claims, double capacity);

}  // namespace cypresswall::fleet_limits
