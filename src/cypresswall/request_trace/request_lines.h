/// The log lines of one request, and the nodes, engines and time span that they cover.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// Maximum number of lines kept of one request; further lines are only counted.
inline constexpr std::size_t kMaximumKeptLines = 10'000;

/// Collects the lines that name the request.
class RequestLines {
 public:
  explicit RequestLines(std::string request) : request_(std::move(request)) {}

  void add(const LogRecord& record);
  const std::string& request() const { return request_; }
  const std::vector<LogRecord>& records() const { return records_; }
  /// Number of lines of the request beyond kMaximumKeptLines.
  std::uint64_t omittedLines() const { return omitted_lines_; }

 private:
  std::string request_;
  std::vector<LogRecord> records_;
  std::uint64_t omitted_lines_ = 0;
};

/// Nodes, engines and time span of a request.
struct RequestScope {
  std::string request;
  std::set<std::string> nodes;
  /// Engines to which the request was routed, or that were named when it was refused.
  std::set<std::string> engines;
  WallTime first{};
  WallTime last{};
};

/// \param lines must not be empty
RequestScope scopeOf(const RequestLines& lines);

}  // namespace cypresswall::request_trace
