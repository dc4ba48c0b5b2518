/// From one line of a node's log to its record.
#pragma once

#include <optional>
#include <string_view>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// Takes any bytes.
/// \return nothing if the line can't be read: it is not made of pairs, is cut, has no time or no
/// event, or lacks a value that its event always has
std::optional<LogRecord> parseLogRecord(std::string_view line);

/// \return nothing unless `text` is like 2026-06-17T22:17:20.285Z
std::optional<WallTime> parseWallTime(std::string_view text);

}  // namespace cypresswall::request_trace
