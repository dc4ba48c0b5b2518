/// Sums of earned and used amounts over a sliding window.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// Divides the window into 20 slices. Both sums are conservative, so that the amount still
/// available is never overestimated: used amounts count for up to two slices longer than the
/// window, earned amounts for up to one slice less.
class SlidingWindowCounter {
 public:
  explicit SlidingWindowCounter(common::Duration window);

  void earn(double amount, common::MonotonicTime now);
  void use(double amount, common::MonotonicTime now);
  double earned(common::MonotonicTime now) const;
  double used(common::MonotonicTime now) const;

 private:
  static constexpr std::size_t kSlicesPerWindow = 20;
  /// Number of stored slices: the current one, those of the window, and one more for the
  /// conservative sum of used amounts.
  static constexpr std::size_t kUsedSlices = kSlicesPerWindow + 2;

  struct Slice {
    /// Number of the slice, counted from the clock's epoch; -1 if never used. Distinguishes an
    /// outdated slice from the current one at the same index.
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
