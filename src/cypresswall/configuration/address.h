/// Validation of declared endpoints: numeric IP addresses only, no host names.
#pragma once

#include <string>

namespace cypresswall::configuration {

/// \return true if `address` is "IP:port" with a numeric IPv4 address, or "[IP]:port" with a
///   numeric IPv6 address, and a port from 1 to 65535.
bool isNumericEndpoint(const std::string& address);

}  // namespace cypresswall::configuration
