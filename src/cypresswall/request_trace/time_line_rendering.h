/// A time line as text for a terminal.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/request_trace/diagnosis.h"
#include "cypresswall/request_trace/log_scan.h"
#include "cypresswall/request_trace/time_line.h"

namespace cypresswall::request_trace {

/// \return the lines in order, the attempts, and last the diagnosis in one line. Control characters
/// that a log may hold are shown as `?`.
std::string renderTimeLine(const TimeLine& time_line, const Diagnosis& diagnosis);

/// \return a line for each log with lines that can't be read; empty if there is none
std::string renderUnreadable(const std::vector<ScanCount>& counts);

}  // namespace cypresswall::request_trace
