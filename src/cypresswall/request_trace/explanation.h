/// From logs and a request's identifier to its time line.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/request_trace/log_scan.h"
#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

/// No readable line of the logs names the request.
class UnknownRequestError : public common::Error {
 public:
  using common::Error::Error;
};

struct Explanation {
  TimeLine time_line;
  std::vector<ScanCount> counts;
  /// Lines beyond what is kept of one request.
  std::uint64_t omitted_lines = 0;
};

/// Reads the logs twice, first for the request's lines and then for those in force around them, and
/// keeps no others, so that memory does not grow with the logs.
/// \throws LogFileError, UnknownRequestError
Explanation explainRequest(const std::vector<std::string>& paths, const std::string& request);

}  // namespace cypresswall::request_trace
