/// Limits how often an event that others can cause at will is written to the log.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "cypresswall/common/time.h"

namespace cypresswall::common {

class LogInterval {
 public:
  explicit LogInterval(Duration interval = std::chrono::seconds(10)) : interval_(interval) {}

  /// Records `occurrences` of the event.
  /// \return the number of occurrences since the last line if a line is due, or else nothing
  std::optional<std::uint64_t> record(MonotonicTime now, std::uint64_t occurrences = 1) {
    unwritten_ += occurrences;
    if (occurrences == 0 || (last_line_ && now - *last_line_ < interval_)) {
      return std::nullopt;
    }
    last_line_ = now;
    return std::exchange(unwritten_, 0);
  }

 private:
  Duration interval_;
  std::optional<MonotonicTime> last_line_;
  std::uint64_t unwritten_ = 0;
};

}  // namespace cypresswall::common
