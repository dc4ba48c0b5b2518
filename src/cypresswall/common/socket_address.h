/// Parsing of "IP:port" addresses. The system uses IP numbers only; names are refused.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::common {

/// A text that is no "IP:port" (IPv4) or "[IP]:port" (IPv6).
class AddressError : public Error {
 public:
  using Error::Error;
};

/// The parts of an Address.
struct SocketAddress {
  /// IP number without brackets.
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

/// \throws AddressError if `text` is no IP number with a port from 0 to 65535
SocketAddress parseSocketAddress(const Address& text);
/// Writes what parseSocketAddress() reads.
Address formatSocketAddress(const SocketAddress& address);
/// \return true if `text` is an IP number, without port or brackets.
bool isIpNumber(const std::string& text);

}  // namespace cypresswall::common
