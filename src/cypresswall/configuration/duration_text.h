/// Durations as people write them in files and commands: "1.3s", "79ms", "500us", "2m", "1h".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/common/time.h"

namespace cypresswall::configuration {

/// \return the duration, or nothing if `text` is not a non-negative number directly followed by
///   one of the units us, ms, s, m, h, or if it exceeds a thousand days.
std::optional<common::Duration> parseDuration(std::string_view text);

/// \return `duration` in the largest of s, ms and us that gives a whole number; parseDuration()
///   reads back the same value.
std::string formatDuration(common::Duration duration);

}  // namespace cypresswall::configuration
