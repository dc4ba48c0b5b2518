/// Log lines without the request's identifier that show the state of its nodes and engines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/request_trace/request_lines.h"

namespace cypresswall::request_trace {

/// A store failure or a node stop is relevant to requests that start up to this much later.
inline constexpr Milliseconds kFailureRelevancePeriod{60'000};
/// A node reports dropped lines with the next line that it can write, at most this much later.
inline constexpr Milliseconds kDroppedLinesReportDelay{10'000};

/// Selects lines by the request's scope:
/// - of its nodes: starts, stops, configuration versions, store failures, changes of the source
///   that store data is read from, and dropped lines
/// - of its engines: role changes, and ejections logged by any node that had not expired when the
///   request arrived
/// Selects all such lines during the request and the newest one of each kind before it, if that one
/// was still valid when the request arrived.
class ContextLines {
 public:
  explicit ContextLines(RequestScope scope) : scope_(std::move(scope)) {}

  void add(const LogRecord& record);
  /// \return the selected lines, unordered
  std::vector<LogRecord> records() const;
  /// Number of lines during the request beyond kMaximumKeptLines.
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
