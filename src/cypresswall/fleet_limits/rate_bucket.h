/// A token bucket whose rate can change at any time.
#pragma once

#include <algorithm>

#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// The bucket starts empty, since a node that takes over an account from another keeper does not
/// know how many permits that keeper has granted.
class RateBucket {
 public:
  explicit RateBucket(common::MonotonicTime now) : filled_at_(now) {}

  /// Adds the tokens for the time since the last call.
  /// \param rate tokens per second  \param depth maximum number of tokens
  void fill(double rate, double depth, common::MonotonicTime now) {
    tokens_ = std::min(depth, tokens_ + rate * common::toSeconds(now - filled_at_));
    filled_at_ = now;
  }
  /// \return false, without taking anything, if less than one token is left
  bool take() {
    if (!available()) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  bool available() const { return tokens_ >= 1; }
  /// \return the time until one token is available; zero if one is available now
  /// \param rate tokens per second
  common::Duration wait(double rate) const {
    return available() ? common::Duration{0} : common::fromSeconds((1 - tokens_) / rate);
  }

 private:
  double tokens_ = 0;
  common::MonotonicTime filled_at_;
};

}  // namespace cypresswall::fleet_limits
