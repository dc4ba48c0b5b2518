#include "cypresswall/common/rate_limit_notice.h"

#include <charconv>
#include <cmath>
#include <string_view>
#include <system_error>

namespace cypresswall::common {
namespace {

std::string_view trimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

RateLimitNotice parseRateLimit(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  const std::string_view digits = trimBlanks(text);
  const char* const end = digits.data() + digits.size();
  double value = 0;
  const auto read = std::from_chars(digits.data(), end, value, std::chars_format::fixed);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  if (!whole || !std::isfinite(value) || value < 0) {
    return {RateLimitNotice::Kind::kUnreadable, 0};
  }
  return {RateLimitNotice::Kind::kNamed, value};
}

}  // namespace cypresswall::common
