/// Builds the time line of a request from log files.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/request_trace/log_scan.h"
#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

/// The request's identifier occurs in no readable log line.
class UnknownRequestError : public common::Error {
 public:
  using common::Error::Error;
};

struct Explanation {
  TimeLine time_line;
  std::vector<ScanCount> counts;
  /// Lines dropped because of kMaximumKeptLines.
  std::uint64_t omitted_lines = 0;
};

/// Reads the logs twice: first for the request's own lines, then for the lines that give their
/// context. No other lines are kept, so that memory use does not grow with the size of the logs.
/// \throws LogFileError, UnknownRequestError
Explanation explainRequest(const std::vector<std::string>& paths, const std::string& request);

}  // namespace cypresswall::request_trace
