/// What else failed around a request: one engine, one node, or all of them.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cypresswall/request_trace/failure_reason.h"
#include "cypresswall/request_trace/request_lines.h"

namespace cypresswall::request_trace {

/// Failures within this time of a request's own are counted.
inline constexpr Milliseconds kConcurrentFailureWindow{1'000};

/// Counts, without the request's own.
struct ConcurrentFailureCounts {
  /// Requests that failed for the same kind of reason at the node where this one failed.
  std::uint64_t same_failures_here = 0;
  std::uint64_t same_failures_elsewhere = 0;
  /// Other nodes with such failures, and other nodes whose logs have any line of that time.
  std::set<std::string> failing_nodes;
  std::set<std::string> other_nodes;
  /// Engines at which attempts failed, and at which attempts gave their first token.
  std::set<std::string> failing_engines;
  std::set<std::string> answering_engines;
};

/// Counts while the logs are read.
class ConcurrentFailures {
 public:
  /// \param lines of at least one line
  explicit ConcurrentFailures(const RequestLines& lines);

  void add(const LogRecord& record);
  const ConcurrentFailureCounts& counts() const { return counts_; }

 private:
  void countFailure(const LogRecord& record);

  std::string request_;
  /// The request's last failure, or its last line if it did not fail.
  LogRecord failure_;
  std::optional<FailureReason> reason_;
  ConcurrentFailureCounts counts_;
};

}  // namespace cypresswall::request_trace
