/// Loopback addresses for tests that start processes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cypresswall::testing {

/// Binds a loopback port for the lifetime of the object, so that no other process can use it.
class BoundPort {
 public:
  /// \param port 0 for any free port
  explicit BoundPort(std::uint16_t port = 0)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
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
  /// \return "IP:port"; empty if the port was in use
  const std::string& address() const { return text_; }

 private:
  int socket_;
  std::string text_;
};

/// \return an address whose port was free during the call. Ports are below the ephemeral range, so
///   that outgoing connections don't take them, and each test process starts at a different port.
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
