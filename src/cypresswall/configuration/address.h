/// Check of endpoints as declared: IP numbers only, never names.
#pragma once

#include <string>

namespace cypresswall::configuration {

/// \return true if `address` is "IP:port" with an IPv4 number, or "[IP]:port" with an IPv6 number,
///   and a port from 1 to 65535.
bool isNumericEndpoint(const std::string& address);

}  // namespace cypresswall::configuration
