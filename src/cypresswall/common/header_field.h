/// One field of an HTTP header, as every layer that speaks HTTP passes it on.
#pragma once

#include <string>

namespace cypresswall::common {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

}  // namespace cypresswall::common
