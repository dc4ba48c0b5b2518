/// Parses a line of a node's log into a record.
#pragma once

#include <optional>
#include <string_view>

#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// Accepts arbitrary bytes.
/// \return nothing if the line is malformed: it does not consist of pairs, is truncated, has no
/// time or no event, or lacks a mandatory value of its event
std::optional<LogRecord> parseLogRecord(std::string_view line);

/// Parses times such as 2026-06-17T22:17:20.285Z.
std::optional<WallTime> parseWallTime(std::string_view text);

}  // namespace cypresswall::request_trace
