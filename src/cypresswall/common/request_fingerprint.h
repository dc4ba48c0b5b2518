/// By what a request is known again when its caller sends it anew, under another identifier and to
/// another node.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cypresswall::common {

/// A hash over tenant, method, target and body. Zero means that none was worked out.
using RequestFingerprint = std::uint64_t;

/// The same on every node and in every build: nodes tell each other of requests by it.
/// \param target host and path with the query, or the name of a service
RequestFingerprint fingerprintOf(std::string_view tenant, std::string_view method,
                                 std::string_view target, std::string_view body);

/// \return sixteen hexadecimal digits, for logs
std::string toString(RequestFingerprint fingerprint);

}  // namespace cypresswall::common
