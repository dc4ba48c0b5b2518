#include "cypresswall/fleet_limits/sliding_window_counter.h"

namespace cypresswall::fleet_limits {

SlidingWindowCounter::SlidingWindowCounter(common::Duration window)
    : slice_length_(window / static_cast<int>(kSlicesPerWindow)) {}

void SlidingWindowCounter::earn(double amount, common::MonotonicTime now) {
  sliceAt(now).earned += amount;
}

void SlidingWindowCounter::use(double amount, common::MonotonicTime now) {
  sliceAt(now).used += amount;
}

double SlidingWindowCounter::earned(common::MonotonicTime now) const {
  return sum(&Slice::earned, kSlicesPerWindow, now);
}

double SlidingWindowCounter::used(common::MonotonicTime now) const {
  return sum(&Slice::used, kUsedSlices, now);
}

std::int64_t SlidingWindowCounter::numberAt(common::MonotonicTime now) const {
  return now.time_since_epoch() / slice_length_;
}

SlidingWindowCounter::Slice& SlidingWindowCounter::sliceAt(common::MonotonicTime now) {
  const auto number = numberAt(now);
  Slice& slice = slices_[static_cast<std::size_t>(number) % kUsedSlices];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return slice;
}

double SlidingWindowCounter::sum(double Slice::*amount, std::size_t slices,
                                 common::MonotonicTime now) const {
  const auto newest = numberAt(now);
  const auto oldest = newest - static_cast<std::int64_t>(slices) + 1;
  double total = 0;
  for (const Slice& slice : slices_) {
    if (slice.number >= oldest && slice.number <= newest) {
      total += slice.*amount;
    }
  }
  return total;
}

}  // namespace cypresswall::fleet_limits
