/// Addresses of the loopback for tests that start processes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cypresswall::testing {

/// A bound port of the loopback, which nobody else can take while this lives.
class BoundPort {
 public:
  /// \param port zero for any that is free
  explicit BoundPort(std::uint16_t port = 0) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    if (bind(socket_, generic, size) == 0 && listen(socket_, 1) == 0 &&
        getsockname(socket_, generic, &size) == 0) {
      text_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
  }
  ~BoundPort() { close(socket_); }
  BoundPort(const BoundPort&) = delete;
  BoundPort& operator=(const BoundPort&) = delete;
  /// \return "IP:port", or nothing if the port was not free
  const std::string& address() const { return text_; }

 private:
  int socket_;
  std::string text_;
};

/// \return an address whose port was free a moment ago. The ports lie below those that the system
///   gives to outgoing connections, so that none of these takes one in between, and each process
///   begins at another one.
inline std::string freeAddress() {
  constexpr std::uint32_t kFirstPort = 12000;
  constexpr std::uint32_t kPorts = 20000;
  constexpr std::uint32_t kPortsPerProcess = 97;
  static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * kPortsPerProcess;
  for (std::uint32_t tried = 0; tried < kPorts; ++tried) {
    const BoundPort taken(static_cast<std::uint16_t>(kFirstPort + next++ % kPorts));
    if (!taken.address().empty()) {
      return taken.address();
    }
  }
  throw std::runtime_error("no port of the loopback is free");
}

}  // namespace cypresswall::testing
