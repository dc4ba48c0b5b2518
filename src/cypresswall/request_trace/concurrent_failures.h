/// Counts other failures around the time at which a request failed. The counts show whether one
/// engine or node was at fault, or many.
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

/// Failures of other requests, and nodes and engines, within kConcurrentFailureWindow. Failures and
/// first tokens of the request itself are not counted.
struct ConcurrentFailureCounts {
  /// Number of other requests that failed for the same reason on the same node.
  std::uint64_t same_failures_here = 0;
  /// Number of other requests that failed for the same reason on other nodes.
  std::uint64_t same_failures_elsewhere = 0;
  /// Other nodes on which requests failed for the same reason.
  std::set<std::string> failing_nodes;
  /// Other nodes that wrote any log line in the window.
  std::set<std::string> other_nodes;
  /// Engines on which attempts failed, for any reason.
  std::set<std::string> failing_engines;
  /// Engines that returned a first token.
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
  /// The request's last failure, or its last line if no line reports a failure.
  LogRecord failure_;
  std::optional<FailureReason> reason_;
  ConcurrentFailureCounts counts_;
};

}  // namespace cypresswall::request_trace
