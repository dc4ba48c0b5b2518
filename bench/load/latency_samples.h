/// All latencies of one kind, for exact percentiles.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::bench {

class LatencySamples {
 public:
  void add(common::Duration latency);
  void merge(const LatencySamples& other);
  std::size_t count() const { return microseconds_.size(); }
  /// \param share 0 to 1; 0.5 gives the median. \return zero if there are no samples.
  common::Duration percentile(double share) const;

 private:
  mutable std::vector<std::uint32_t> microseconds_;
  mutable bool sorted_ = false;
};

}  // namespace cypresswall::bench
