#include "cypresswall/runtime/asio_clock.h"

#include <ctime>

namespace cypresswall::runtime {

common::MonotonicTime AsioClock::now() const {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  const auto elapsed =
      std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
  return common::MonotonicTime(std::chrono::duration_cast<common::Duration>(elapsed));
}

}  // namespace cypresswall::runtime
