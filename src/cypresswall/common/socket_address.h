/// Parsing of "IP:port" addresses. Only numeric IP addresses are accepted, no host names.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::common {

/// Thrown if a text is not an "IP:port" (IPv4) or "[IP]:port" (IPv6) address.
class AddressError : public Error {
 public:
  using Error::Error;
};

/// The parts of an Address.
struct SocketAddress {
  /// Numeric IP address without brackets.
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

/// \throws AddressError if `text` is not a numeric IP address with a port from 0 to 65535
SocketAddress parseSocketAddress(const Address& text);
/// Inverse of parseSocketAddress().
Address formatSocketAddress(const SocketAddress& address);
/// \return true if `text` is a numeric IP address, without port or brackets.
bool isIpNumber(const std::string& text);

}  // namespace cypresswall::common
