/// Text form of durations in files and commands: "1.3s", "79ms", "500us", "2m", "1h".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/common/time.h"

namespace cypresswall::configuration {

/// \return the duration, or nullopt if `text` is not a non-negative number directly followed by
///   one of the units us, ms, s, m, h, or if it exceeds a thousand days.
std::optional<common::Duration> parseDuration(std::string_view text);

/// \return `duration` as a whole number of the largest of s, ms and us that allows one, in a form
///   that parseDuration() accepts.
std::string formatDuration(common::Duration duration);

}  // namespace cypresswall::configuration
