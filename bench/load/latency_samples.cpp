#include "bench/load/latency_samples.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cypresswall::bench {

void LatencySamples::add(common::Duration latency) {
  constexpr common::Duration::rep kLargest = std::numeric_limits<std::uint32_t>::max();
  const auto bounded = std::clamp<common::Duration::rep>(latency.count(), 0, kLargest);
  microseconds_.push_back(static_cast<std::uint32_t>(bounded));
  sorted_ = false;
}

void LatencySamples::merge(const LatencySamples& other) {
  microseconds_.insert(microseconds_.end(), other.microseconds_.begin(), other.microseconds_.end());
  sorted_ = false;
}

common::Duration LatencySamples::percentile(double share) const {
  if (microseconds_.empty()) {
    return common::Duration{0};
  }
  if (!sorted_) {
    std::sort(microseconds_.begin(), microseconds_.end());
    sorted_ = true;
  }
  const double rank = std::ceil(share * static_cast<double>(microseconds_.size()));
  const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return common::Duration(microseconds_[std::min(position, microseconds_.size() - 1)]);
}

}  // namespace cypresswall::bench
