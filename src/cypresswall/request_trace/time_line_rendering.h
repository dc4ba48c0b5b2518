/// Renders a time line as terminal output.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/request_trace/diagnosis.h"
#include "cypresswall/request_trace/log_scan.h"
#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

/// \return the log lines in order, then the attempts, and the diagnosis as the last line. Control
///   characters from the logs are replaced by `?`.
std::string renderTimeLine(const TimeLine& time_line, const Diagnosis& diagnosis);

/// \return one line for each log with unreadable lines; empty if there is none
std::string renderUnreadable(const std::vector<ScanCount>& counts);

}  // namespace cypresswall::request_trace
