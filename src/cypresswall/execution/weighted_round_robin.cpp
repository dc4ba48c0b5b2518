#include "cypresswall/execution/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace cypresswall::execution {

std::size_t WeightedRoundRobin::next(const std::string& name, const std::vector<double>& weights) {
  std::vector<double>& credits = credits_[name];
  if (credits.size() != weights.size()) {
    credits.assign(weights.size(), 0.0);
  }
  for (std::size_t part = 0; part < weights.size(); ++part) {
    credits[part] += weights[part];
  }
  const auto richest = std::max_element(credits.begin(), credits.end());
  *richest -= std::accumulate(weights.begin(), weights.end(), 0.0);
  return static_cast<std::size_t>(richest - credits.begin());
}

}  // namespace cypresswall::execution
