#include "cypresswall/common/decimal.h"

#include <charconv>
#include <cmath>
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

std::optional<double> parseDecimal(std::string_view text) {
  const std::string_view digits = trimBlanks(text);
  const char* const end = digits.data() + digits.size();
  double value = 0;
  const auto read = std::from_chars(digits.data(), end, value, std::chars_format::fixed);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole && std::isfinite(value) ? std::optional(value) : std::nullopt;
}

}  // namespace cypresswall::common
