/// Tells answers that waited in a queue from those that did not, by the usual time of an answer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

/// The baseline is the moving average of the times of answers. It follows slowly while the server
/// is short of room, so that a queue does not count as usual at once, and a server that became
/// slower for good does after some time.
class LatencyBaseline {
 public:
  /// \return true if the answer took several times as long as usual
  bool record(common::Duration latency, bool short_of_room, common::MonotonicTime now) {
    const double seconds = common::toSeconds(latency);
    const double elapsed = common::toSeconds(now - std::exchange(recorded_at_, now));
    if (samples_ < kLeastSamples) {
      ++samples_;
      baseline_seconds_ += (seconds - baseline_seconds_) / samples_;
      return false;
    }
    const double longest = kDelayFactor * baseline_seconds_;
    const double weight =
        std::min(elapsed / (short_of_room ? kShortSeconds : kCalmSeconds), kLargestWeight);
    // A single extreme value must not raise the baseline.
    baseline_seconds_ += weight * (std::min(seconds, longest) - baseline_seconds_);
    return seconds > longest;
  }
  common::Duration value() const { return common::fromSeconds(baseline_seconds_); }

 private:
  static constexpr std::uint32_t kLeastSamples = 20;
  static constexpr double kDelayFactor = 2.5;
  /// Time constants of the average.
  static constexpr double kCalmSeconds = 10;
  static constexpr double kShortSeconds = 120;
  static constexpr double kLargestWeight = 0.02;

  common::MonotonicTime recorded_at_{};
  double baseline_seconds_ = 0;
  std::uint32_t samples_ = 0;
};

}  // namespace cypresswall::admission
