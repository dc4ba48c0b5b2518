/// Lines without the request's identifier that tell what was in force around it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/request_trace/request_lines.h"

namespace cypresswall::request_trace {

/// How long before a request a store failure, or the stop of a node, still counts as in force.
inline constexpr Milliseconds kFailureRelevancePeriod{60'000};
/// A node tells of lines it dropped with the next one that it can write.
inline constexpr Milliseconds kDroppedLinesReportDelay{10'000};

/// Chooses, by the request's scope:
/// - of its nodes: the start, and the versions of the configuration: the newest before the request
/// and
///   all during it; failures of the store, and changes of who reads it; their stop; dropped lines
/// - of its engines: ejections, told by any node, that were not over when the request came; changes
///   of role: the newest before and all during it
class ContextLines {
 public:
  explicit ContextLines(RequestScope scope) : scope_(std::move(scope)) {}

  void add(const LogRecord& record);
  /// \return the lines chosen, in no order
  std::vector<LogRecord> records() const;
  /// Lines during the request beyond kMaximumKeptLines.
  std::uint64_t omittedLines() const { return omitted_lines_; }

 private:
  void keepNewest(const std::string& subject, const LogRecord& record);
  void keep(const LogRecord& record);

  RequestScope scope_;
  std::map<std::string, LogRecord> newest_before_;
  std::vector<LogRecord> during_;
  std::uint64_t omitted_lines_ = 0;
};

}  // namespace cypresswall::request_trace
