#include <algorithm>

#include "cypresswall/common/header_names.h"
#include "cypresswall/http/server.h"

namespace cypresswall::http {

std::string Request::header(const std::string& name) const {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header& header) {
    return common::sameHeaderName(header.name, name);
  });
  return found == headers.end() ? std::string() : found->value;
}

}  // namespace cypresswall::http
