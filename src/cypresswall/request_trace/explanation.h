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
  /// Number of relevant lines left out of the time line because of kMaximumKeptLines.
  std::uint64_t omitted_lines = 0;
};

/// Reads the logs twice: first for the lines that name the request, then for lines about the nodes
/// and engines in those lines, and for concurrent failures. No other lines are kept, so that memory
/// use does not grow with the size of the logs.
/// \throws LogFileError, UnknownRequestError
Explanation explainRequest(const std::vector<std::string>& paths, const std::string& request);

}  // namespace cypresswall::request_trace
