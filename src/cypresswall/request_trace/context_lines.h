/// Selects log lines that do not contain the request's identifier but show the state of the nodes
/// and engines that handled the request.
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

/// Selects lines about the nodes and engines in the request's scope:
/// - about nodes: starts, stops, configuration versions, store failures, changes of the source from
///   which a node reads store data, and dropped lines
/// - about engines: role changes, and ejections logged by any node
/// Selects all such lines that were written during the request. Of the lines before the request,
/// selects the newest of each kind, unless what it describes had ended when the request arrived,
/// like an ejection that had expired.
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
