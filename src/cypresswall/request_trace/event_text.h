/// Human-readable text of log events.
#pragma once

#include <string>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// \return a description of the event with the values that its line contains, such as the expected
///   times that led to a routing decision. Names and texts from the log are copied unchanged
std::string toText(const LogRecord& record);

/// \return the time of day, for example 22:17:20.285
std::string timeOfDay(WallTime time);

/// \return the date, for example 2026-06-17
std::string dayOf(WallTime time);

/// \return for example `45 ms`
std::string toText(Milliseconds duration);

}  // namespace cypresswall::request_trace
