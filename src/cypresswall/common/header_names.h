/// Syntax and comparison of HTTP header names (RFC 9110, section 5.1).
#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

namespace cypresswall::common {

/// \return true if the names are equal; their case is ignored.
inline bool sameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

/// \return true if the text may be the name of a header: a token (RFC 9110, section 5.6.2).
inline bool isHeaderName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || kMarks.find(c) != kMarks.npos;
  });
}

}  // namespace cypresswall::common
