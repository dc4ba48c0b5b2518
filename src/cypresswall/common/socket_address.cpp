#include "cypresswall/common/socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string_view>

namespace cypresswall::common {
namespace {

bool isIpv6Number(const std::string& text) {
  in6_addr parsed{};
  return inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::uint16_t parsePort(std::string_view text, const Address& whole) {
  std::uint16_t port = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
  if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    throw AddressError("'" + whole + "' has no port from 0 to 65535");
  }
  return port;
}

/// Removes the brackets of an IPv6 address.
std::string withoutBrackets(const std::string& host, const Address& whole) {
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    throw AddressError("'" + whole + "' is no IP:port; IPv6 numbers stand in brackets");
  }
  return host.substr(1, host.size() - 2);
}

}  // namespace

bool isIpNumber(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || isIpv6Number(text);
}

SocketAddress parseSocketAddress(const Address& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw AddressError("'" + text + "' has no port");
  }
  SocketAddress address;
  address.ip = text.substr(0, colon);
  if (address.ip.find_first_of(":[") != std::string::npos) {
    address.ip = withoutBrackets(address.ip, text);
  }
  if (!isIpNumber(address.ip)) {
    throw AddressError("'" + text + "' does not begin with an IP number");
  }
  address.port = parsePort(std::string_view(text).substr(colon + 1), text);
  return address;
}

Address formatSocketAddress(const SocketAddress& address) {
  const std::string host = isIpv6Number(address.ip) ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

}  // namespace cypresswall::common
