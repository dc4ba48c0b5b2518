#include "cypresswall/runtime/curl_request.h"

#include <cctype>

#include "cypresswall/common/header_names.h"

namespace cypresswall::runtime {
namespace {

bool isUnreserved(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string CurlResponse::header(std::string_view name) const {
  for (const CurlHeader& candidate : headers) {
    if (common::sameHeaderName(candidate.name, name)) {
      return candidate.value;
    }
  }
  return {};
}

std::string percentEncode(std::string_view text) {
  constexpr const char* kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    const auto code = static_cast<unsigned char>(c);
    if (isUnreserved(code)) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHexDigits[code >> 4];
      encoded += kHexDigits[code & 0xf];
    }
  }
  return encoded;
}

}  // namespace cypresswall::runtime
