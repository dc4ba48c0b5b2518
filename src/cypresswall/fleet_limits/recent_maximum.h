/// Maximum of a series over a recent time span.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// Stores only the maxima of the current span and of the one before, so a value counts for one to
/// two spans after it was added.
class RecentMaximum {
 public:
  explicit RecentMaximum(common::Duration span) : span_(span) {}

  void add(std::size_t value, common::MonotonicTime now) {
    if (now - begun_ >= span_) {
      before_ = now - begun_ >= span_ * 2 ? value : current_;
      current_ = value;
      begun_ = now;
    }
    current_ = std::max(current_, value);
  }
  std::size_t value() const { return std::max(before_, current_); }

 private:
  const common::Duration span_;
  common::MonotonicTime begun_{};
  std::size_t before_ = 0;
  std::size_t current_ = 0;
};

}  // namespace cypresswall::fleet_limits
