/// The lines of one request, and where and when it was, by which other lines are chosen.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// More lines of one kind are counted, not kept.
inline constexpr std::size_t kMaximumKeptLines = 10'000;

/// Keeps the lines that name the request.
class RequestLines {
 public:
  explicit RequestLines(std::string request) : request_(std::move(request)) {}

  void add(const LogRecord& record);
  const std::string& request() const { return request_; }
  const std::vector<LogRecord>& records() const { return records_; }
  /// Lines of the request beyond kMaximumKeptLines.
  std::uint64_t omittedLines() const { return omitted_lines_; }

 private:
  std::string request_;
  std::vector<LogRecord> records_;
  std::uint64_t omitted_lines_ = 0;
};

/// Where and when a request was.
struct RequestScope {
  std::string request;
  std::set<std::string> nodes;
  /// Engines that it was sent to, or that were weighed when it was refused.
  std::set<std::string> engines;
  WallTime first{};
  WallTime last{};
};

/// \param lines of at least one line
RequestScope scopeOf(const RequestLines& lines);

}  // namespace cypresswall::request_trace
