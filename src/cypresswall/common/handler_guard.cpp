#include "cypresswall/common/handler_guard.h"

#include <string_view>

namespace cypresswall::common {
namespace {

const char* nameOf(EventSource source) {
  switch (source) {
    case EventSource::kPeerMessage:
      return "peer_message";
    case EventSource::kAnswer:
      return "answer";
    case EventSource::kRequest:
      return "request";
    case EventSource::kTimer:
      return "timer";
    case EventSource::kEventLoop:
      break;
  }
  return "event_loop";
}

/// Maximum length of a text in a line; both texts may quote input.
constexpr std::size_t kMaximumQuotedBytes = 512;

}  // namespace

HandlerGuard::HandlerGuard(LogSink& log, CounterRegistry& counters)
    : log_(log), counters_(counters) {}

bool HandlerGuard::count(EventSource source) {
  SourceState& state = states_.at(static_cast<std::size_t>(source));
  if (state.failures == nullptr) {
    state.failures = &counters_.counter("cypresswall_failed_handlers_total",
                                        "Events whose handling ended with an exception, by source.",
                                        "source", nameOf(source));
  }
  state.failures->add();
  const auto now = std::chrono::steady_clock::now();
  if (now - state.second_began >= std::chrono::seconds(1)) {
    state.second_began = now;
    state.lines = 0;
  }
  if (state.lines >= kLinesPerSecond) {
    ++state.left_out;
    return false;
  }
  ++state.lines;
  return true;
}

void HandlerGuard::log(EventSource source, const std::string& origin, const char* error) {
  SourceState& state = states_.at(static_cast<std::size_t>(source));
  LogEvent(log_, LogLevel::kError, "handler_failed")
      .field("source", nameOf(source))
      .field("origin", std::string_view(origin).substr(0, kMaximumQuotedBytes))
      .field("error", std::string_view(error).substr(0, kMaximumQuotedBytes))
      .field("lines_left_out", std::exchange(state.left_out, 0));
}

}  // namespace cypresswall::common
