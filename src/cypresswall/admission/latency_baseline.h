/// Tells answers that waited in a queue from those that did not, by the usual time of an answer.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

/// The baseline is the moving average of the times of answers. It follows slowly while the server
/// is short of room, so that a queue does not count as usual at once, and a server that became
/// slower for good does after some time.
class LatencyBaseline {
 public:
  /// \return true if the answer took several times as long as usual
  bool record(common::Duration latency, bool short_of_room) {
    const double seconds = common::toSeconds(latency);
    const bool known = samples_ >= kLeastSamples;
    const bool delayed = known && seconds > kDelayFactor * baseline_seconds_;
    const double weight = !known ? 1.0 / (samples_ + 1) : short_of_room ? kShortWeight : kWeight;
    // A single extreme value must not raise the baseline.
    const double counted = known ? std::min(seconds, kDelayFactor * baseline_seconds_) : seconds;
    baseline_seconds_ += weight * (counted - baseline_seconds_);
    samples_ = std::min(samples_ + 1, kLeastSamples);
    return delayed;
  }
  common::Duration value() const { return common::fromSeconds(baseline_seconds_); }

 private:
  static constexpr std::uint32_t kLeastSamples = 20;
  static constexpr double kDelayFactor = 2.5;
  static constexpr double kWeight = 0.02;
  static constexpr double kShortWeight = 0.001;

  double baseline_seconds_ = 0;
  std::uint32_t samples_ = 0;
};

}  // namespace cypresswall::admission
