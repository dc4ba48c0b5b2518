/// The course of one request across all nodes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cypresswall/request_trace/concurrent_failures.h"
#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// One attempt of a request on an engine.
struct Attempt {
  RequestRouted route;
  WallTime routed_at{};
  std::string node;
  std::optional<Milliseconds> prompt_computed;
  std::optional<Milliseconds> first_token;
  std::optional<AttemptFailed> failure;
  std::optional<WallTime> failed_at;
  /// Set if the request ended during this attempt.
  std::optional<RequestEnded> end;
};

struct TimeLine {
  std::string request;
  /// The lines that name the request and the lines selected by ContextLines, ordered by time.
  std::vector<LogRecord> records;
  std::vector<Attempt> attempts;
  ConcurrentFailureCounts concurrent_failures;
};

/// Orders `records` by time, and those of the same millisecond by their position in the logs; then
/// derives the request's attempts from the ordered records.
TimeLine makeTimeLine(const std::string& request, std::vector<LogRecord> records,
                      ConcurrentFailureCounts concurrent_failures);

/// \return the newest event of this type in the time line, or nullptr
template <typename RequestEvent>
const RequestEvent* lastOf(const TimeLine& time_line) {
  const RequestEvent* last = nullptr;
  for (const LogRecord& record : time_line.records) {
    if (const auto* event = std::get_if<RequestEvent>(&record.event)) {
      last = event;
    }
  }
  return last;
}

}  // namespace cypresswall::request_trace
