#include "cypresswall/configuration/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cypresswall::configuration {
namespace {

constexpr unsigned kMaximumPort = 65535;

bool isPort(const std::string& text) {
  unsigned port = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && port > 0 &&
         port <= kMaximumPort;
}

bool isAddressOfFamily(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

}  // namespace

bool isNumericEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || !isPort(address.substr(colon + 1))) {
    return false;
  }
  const std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return isAddressOfFamily(AF_INET6, host.substr(1, host.size() - 2));
  }
  return isAddressOfFamily(AF_INET, host);
}

}  // namespace cypresswall::configuration
