/// Time as every subsystem sees it: a monotonic clock and timers, both injected, so that the same
/// code runs under the Asio runtime and under the simulator's virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace cypresswall::common {

/// All durations inside the system are in microseconds.
using Duration = std::chrono::microseconds;

/// Tag clock: it can't be asked for the time, which comes only from an injected Clock.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): standard name
};

/// A reading of one process's own monotonic clock. Readings of two processes can't be compared.
using MonotonicTime = MonotonicTimeline::time_point;

/// Source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// \return the present reading; it never goes back within a process.
  virtual MonotonicTime now() const = 0;
};

/// Reads the machine's time of day: microseconds since the start of 1970. Machines may disagree on
/// it, and it may jump either way.
using TimeOfDay = std::function<Duration()>;

/// Names one scheduled callback; zero is never given out.
using TimerId = std::uint64_t;

/// Runs callbacks later on the thread that runs everything else of the process.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  /// Runs `callback` once, `delay` from now (at once on the next turn if not positive).
  /// \return an identifier for cancel()
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
  /// Forgets a scheduled callback; unknown or already run identifiers are ignored.
  virtual void cancel(TimerId timer) = 0;
};

/// \return `duration` in seconds, for reports and formulas.
constexpr double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// \return `seconds` as a Duration, rounded towards zero to whole microseconds.
constexpr Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace cypresswall::common
