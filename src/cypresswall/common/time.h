/// Clock and timer interfaces. Both are injected, so that the same code runs on the Asio runtime
/// and in the simulator's virtual time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>

namespace cypresswall::common {

/// Durations are represented in microseconds throughout the system.
using Duration = std::chrono::microseconds;

/// Clock type for time points only. It has no now(): the time comes from an injected Clock.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): standard name
};

/// Time point of a process's monotonic clock. Not comparable between processes.
using MonotonicTime = MonotonicTimeline::time_point;

/// Source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// \return the current time; it never decreases within a process.
  virtual MonotonicTime now() const = 0;
};

/// Returns the machine's wall-clock time: microseconds since the Unix epoch. It may differ between
/// machines and may jump forwards or backwards.
using TimeOfDay = std::function<Duration()>;

/// Identifies a scheduled callback; zero is never used.
using TimerId = std::uint64_t;

/// Runs callbacks later, on the single thread that runs the process's modules.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  /// Runs `callback` once after `delay`, or in the next iteration of the event loop if `delay` is
  /// not positive.
  /// \return an identifier for cancel()
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
  /// Cancels a scheduled callback. Does nothing if `timer` is unknown or its callback has already
  /// run.
  virtual void cancel(TimerId timer) = 0;
};

/// \return `duration` in seconds, for reports and formulas.
constexpr double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// \return `duration` in whole milliseconds, for messages: rounded towards zero, zero if negative
constexpr std::uint32_t millisecondsOf(Duration duration) {
  const std::int64_t count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kMost));
}

/// Longest duration that results from a conversion; sums of some of them can't overflow.
inline constexpr Duration kLongestDuration = std::chrono::hours(24 * 365 * 100);

/// \return `seconds` as a Duration, rounded towards zero to whole microseconds; at most
///   kLongestDuration, negative or not, and zero for a value that is no number
constexpr Duration fromSeconds(double seconds) {
  constexpr double kMost = toSeconds(kLongestDuration);
  const double bounded = seconds >= -kMost ? std::min(seconds, kMost) : (seconds < 0 ? -kMost : 0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

}  // namespace cypresswall::common
