/// What came in and what was used over a sliding window.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// Sums over the last window in slices of a twentieth of it. Both sums err to the safe side: what
/// was used counts for up to two slices longer than the window, what came in for up to one less.
class SlidingWindowCounter {
 public:
  explicit SlidingWindowCounter(common::Duration window);

  void earn(double amount, common::MonotonicTime now);
  void use(double amount, common::MonotonicTime now);
  double earned(common::MonotonicTime now) const;
  double used(common::MonotonicTime now) const;

 private:
  static constexpr std::size_t kSlicesPerWindow = 20;
  /// The present slice, those of the window, and one more in which borrowed amounts are used.
  static constexpr std::size_t kUsedSlices = kSlicesPerWindow + 2;

  struct Slice {
    /// Number since the clock's zero; tells an old slice from the present one in its place.
    std::int64_t number = -1;
    double earned = 0;
    double used = 0;
  };

  std::int64_t numberAt(common::MonotonicTime now) const;
  Slice& sliceAt(common::MonotonicTime now);
  double sum(double Slice::*amount, std::size_t slices, common::MonotonicTime now) const;

  const common::Duration slice_length_;
  std::array<Slice, kUsedSlices> slices_;
};

}  // namespace cypresswall::fleet_limits
