/// Counts other failures at the time of a request's failure, which tell a fault of one engine or
/// node from one of many.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cypresswall/request_trace/failure_reason.h"
#include "cypresswall/request_trace/request_lines.h"

namespace cypresswall::request_trace {

/// Failures within this time before and after the request's own failure are counted.
inline constexpr Milliseconds kConcurrentFailureWindow{1'000};

/// Counts exclude the request itself.
struct ConcurrentFailureCounts {
  /// Requests that failed for the same reason on the same node.
  std::uint64_t same_failures_here = 0;
  std::uint64_t same_failures_elsewhere = 0;
  /// Other nodes with such failures, and other nodes with any log line in the window.
  std::set<std::string> failing_nodes;
  std::set<std::string> other_nodes;
  /// Engines with failed attempts, and engines that returned a first token.
  std::set<std::string> failing_engines;
  std::set<std::string> answering_engines;
};

class ConcurrentFailures {
 public:
  /// \param lines must not be empty
  explicit ConcurrentFailures(const RequestLines& lines);

  void add(const LogRecord& record);
  const ConcurrentFailureCounts& counts() const { return counts_; }

 private:
  void countFailure(const LogRecord& record);

  std::string request_;
  /// The request's last failure, or its last line if it has none.
  LogRecord failure_;
  std::optional<FailureReason> reason_;
  ConcurrentFailureCounts counts_;
};

}  // namespace cypresswall::request_trace
