#include "cypresswall/common/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "cypresswall/common/prompt.h"

namespace cypresswall::common {

RequestFingerprint fingerprintOf(std::string_view tenant, std::string_view method,
                                 std::string_view target, std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view part : {tenant, method, target, body}) {
    // The hash of each part seeds the hash of the next, so that ("a", "bc") and ("ab", "c") differ.
    hash = hash64(part, hash);
  }
  return hash;
}

std::string toString(RequestFingerprint fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
  return text.data();
}

}  // namespace cypresswall::common
