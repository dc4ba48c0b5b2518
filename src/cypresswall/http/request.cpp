#include <algorithm>
#include <cctype>

#include "cypresswall/http/server.h"

namespace cypresswall::http {
namespace {

bool equalIgnoringCase(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace

std::string Request::header(const std::string& name) const {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header& header) {
    return equalIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string() : found->value;
}

}  // namespace cypresswall::http
