/// Comparison of HTTP header names, which are case-insensitive (RFC 9110, section 5.1).
#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

namespace cypresswall::common {

/// \return true if the names are equal, ignoring case.
inline bool sameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace cypresswall::common
