#include "cypresswall/configuration/duration_text.h"

#include <array>
#include <charconv>
#include <cmath>

namespace cypresswall::configuration {
namespace {

struct Unit {
  std::string_view name;
  double microseconds;
};

constexpr std::array<Unit, 5> kUnits = {Unit{"us", 1}, Unit{"ms", 1e3}, Unit{"s", 1e6},
                                        Unit{"m", 60e6}, Unit{"h", 3600e6}};
constexpr double kMaximumMicroseconds = 1000.0 * 24 * 3600 * 1e6;
constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

}  // namespace

std::optional<common::Duration> parseDuration(std::string_view text) {
  double number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || std::signbit(number)) {
    return std::nullopt;
  }
  const std::string_view unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
  for (const Unit& known : kUnits) {
    if (known.name != unit) {
      continue;
    }
    const double microseconds = number * known.microseconds;
    if (!(microseconds <= kMaximumMicroseconds)) {
      return std::nullopt;
    }
    return common::Duration(std::llround(microseconds));
  }
  return std::nullopt;
}

std::string formatDuration(common::Duration duration) {
  const std::int64_t count = duration.count();
  if (count % kMicrosecondsPerSecond == 0) {
    return std::to_string(count / kMicrosecondsPerSecond) + "s";
  }
  if (count % kMicrosecondsPerMillisecond == 0) {
    return std::to_string(count / kMicrosecondsPerMillisecond) + "ms";
  }
  return std::to_string(count) + "us";
}

}  // namespace cypresswall::configuration
