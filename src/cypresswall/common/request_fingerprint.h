/// Identifies a request that its caller sends again, possibly with another request identifier and
/// to another node.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cypresswall::common {

/// A hash over tenant, method, target and body. Zero means that the hash was not computed.
using RequestFingerprint = std::uint64_t;

/// The result must not differ between nodes and builds, since nodes exchange fingerprints.
/// \param target host and path with the query, or the name of a service
RequestFingerprint fingerprintOf(std::string_view tenant, std::string_view method,
                                 std::string_view target, std::string_view body);

/// \return sixteen hexadecimal digits, for logs
std::string toString(RequestFingerprint fingerprint);

}  // namespace cypresswall::common
