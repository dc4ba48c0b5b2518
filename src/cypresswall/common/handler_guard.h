/// The last line of defence against input that no reader foresaw: an exception of the handler of
/// one event ends the handling of that event, not the process.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <exception>
#include <string>
#include <utility>

#include "cypresswall/common/counters.h"
#include "cypresswall/common/event_log.h"

namespace cypresswall::common {

/// Kinds of events by which the outside reaches a process.
enum class EventSource : std::uint8_t {
  kPeerMessage,  ///< a message of another node
  kAnswer,       ///< an answer, or a part of one, to a request of this process
  kRequest,      ///< a request of a caller
  kTimer,        ///< a timer of this process
  kEventLoop,    ///< any other event
};

/// Runs the handlers of events. Owners of an event loop call it once per event, at a point where
/// their own state is consistent, so that they go on with the next event. Not thread-safe.
class HandlerGuard {
 public:
  /// Lines are limited to this number per source and second; the next line counts those left out.
  static constexpr std::uint32_t kLinesPerSecond = 5;

  HandlerGuard(LogSink& log, CounterRegistry& counters);

  /// Runs `handler`.
  /// \param describe returns the event's origin as text for the log line; called only on failure
  /// \return false if the handler threw; the failure has been counted and logged
  template <typename Describe, typename Handler>
  bool run(EventSource source, Describe&& describe, Handler&& handler) {
    try {
      std::forward<Handler>(handler)();
      return true;
    } catch (const std::exception& error) {
      report(source, std::forward<Describe>(describe), error);
      return false;
    }
  }

 private:
  struct SourceState {
    /// Null until the first failure.
    Counter* failures = nullptr;
    std::chrono::steady_clock::time_point second_began;
    std::uint32_t lines = 0;
    std::uint64_t left_out = 0;
  };

  template <typename Describe>
  void report(EventSource source, Describe&& describe, const std::exception& error) noexcept {
    try {
      if (count(source)) {
        log(source, std::forward<Describe>(describe)(), error.what());
      }
    } catch (const std::exception&) {
      // Out of memory; the failure may have been counted.
    }
  }
  /// \return true if a line may be written
  bool count(EventSource source);
  void log(EventSource source, const std::string& origin, const char* error);

  LogSink& log_;
  CounterRegistry& counters_;
  std::array<SourceState, static_cast<std::size_t>(EventSource::kEventLoop) + 1> states_{};
};

/// Runs `handler` under `guard`, or without one if it is null; exceptions then reach the caller.
template <typename Describe, typename Handler>
bool runGuarded(HandlerGuard* guard, EventSource source, Describe&& describe, Handler&& handler) {
  if (guard != nullptr) {
    return guard->run(source, std::forward<Describe>(describe), std::forward<Handler>(handler));
  }
  std::forward<Handler>(handler)();
  return true;
}

}  // namespace cypresswall::common
