/// An HTTP header field, shared by all layers that handle HTTP.
#pragma once

#include <string>

namespace cypresswall::common {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

}  // namespace cypresswall::common
