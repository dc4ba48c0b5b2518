/// Addresses of the loopback for tests that start processes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace cypresswall::testing {

/// A bound port of the loopback, which nobody else can take while this lives.
class TakenPort {
 public:
  TakenPort() {
    if (!take(0)) {
      throw std::runtime_error("no port of the loopback can be taken");
    }
  }
  /// \return null if the port is not free
  static std::unique_ptr<TakenPort> tryPort(std::uint16_t port) {
    auto taken = std::make_unique<TakenPort>(Untaken{});
    return taken->take(port) ? std::move(taken) : nullptr;
  }
  ~TakenPort() { close(socket_); }
  TakenPort(const TakenPort&) = delete;
  TakenPort& operator=(const TakenPort&) = delete;
  const std::string& address() const { return text_; }

  /// Lets only tryPort() make one that holds no port yet.
  class Untaken {
    friend class TakenPort;
    Untaken() = default;
  };
  explicit TakenPort(Untaken) {}

 private:
  /// \param port zero for any
  bool take(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    if (bind(socket_, generic, size) != 0 || listen(socket_, 1) != 0 ||
        getsockname(socket_, generic, &size) != 0) {
      return false;
    }
    text_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    return true;
  }

  int socket_ = socket(AF_INET, SOCK_STREAM, 0);
  std::string text_;
};

/// \return an address whose port was free a moment ago. The ports lie below those that the system
///   gives to outgoing connections, so that none of these takes one in between, and each process
///   begins at another one.
inline std::string freeAddress() {
  constexpr std::uint16_t kFirstPort = 12000;
  constexpr std::uint16_t kPorts = 20000;
  constexpr std::uint16_t kPortsOfAProcess = 97;
  static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * kPortsOfAProcess;
  for (std::uint32_t tried = 0; tried < kPorts; ++tried) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (const auto taken = TakenPort::tryPort(port)) {
      return taken->address();
    }
  }
  throw std::runtime_error("no port of the loopback is free");
}

}  // namespace cypresswall::testing
