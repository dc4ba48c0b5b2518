#include "cypresswall/fleet_limits/max_min_shares.h"

#include <algorithm>
#include <limits>

namespace cypresswall::fleet_limits {

double waterLevel(std::vector<ShareClaim> claims, double capacity) {
  std::sort(claims.begin(), claims.end(), [](const ShareClaim& left, const ShareClaim& right) {
    return left.demand * right.weight < right.demand * left.weight;
  });
  double weight = 0;
  for (const ShareClaim& claim : claims) {
    weight += claim.weight;
  }
  double left = std::max(0.0, capacity);
  for (const ShareClaim& claim : claims) {
    if (claim.demand * weight > left * claim.weight) {
      return left / weight;
    }
    left -= claim.demand;
    weight -= claim.weight;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace cypresswall::fleet_limits
