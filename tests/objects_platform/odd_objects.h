/// Objects of the store that contain odd values in each place.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/support/odd_stored_json.h"

namespace cypresswall::objects_platform::testing {

/// \return objects as JSON text, each with `odd` in another place
inline std::vector<std::string> objectsWith(const std::string& odd, std::uint64_t revision) {
  const std::string at = std::to_string(revision);
  const std::string metadata = R"("metadata": {"name": "a", "revision": )" + at + "}";
  return {odd,
          R"({"metadata": )" + odd + R"(, "spec": {}})",
          R"({"metadata": {"name": )" + odd + R"(, "revision": )" + at + R"(}, "spec": {}})",
          R"({"metadata": {"name": "a", "revision": )" + odd + R"(}, "spec": {}})",
          R"({"metadata": {"name": "a", "revision": )" + at + R"(, "finalizers": )" + odd +
              R"(}, "spec": {}})",
          "{" + metadata + R"(, "spec": )" + odd + "}",
          "{" + metadata + R"(, "spec": {"service": )" + odd + "}}",
          "{" + metadata + R"(, "spec": {}, "status": )" + odd + "}",
          "{" + metadata + R"(, "spec": {}, "spec": )" + odd + "}"};
}

}  // namespace cypresswall::objects_platform::testing
