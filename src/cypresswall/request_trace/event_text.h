/// Each event in words.
#pragma once

#include <string>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// \return what the line tells, with the inputs that decided it; names and texts as they stand in
/// it
std::string toText(const LogRecord& record);

/// \return the time of day, like 22:17:20.285
std::string timeOfDay(WallTime time);

/// \return the day, like 2026-06-17
std::string dayOf(WallTime time);

/// \return like `45 ms`
std::string toText(Milliseconds duration);

}  // namespace cypresswall::request_trace
