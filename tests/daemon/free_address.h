/// Addresses of the loopback for tests that start processes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace cypresswall::testing {

/// A bound port of the loopback, which nobody else can take while this lives.
class TakenPort {
 public:
  TakenPort() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    if (bind(socket_, generic, size) != 0 || listen(socket_, 1) != 0 ||
        getsockname(socket_, generic, &size) != 0) {
      throw std::runtime_error("no port of the loopback can be taken");
    }
    text_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~TakenPort() { close(socket_); }
  TakenPort(const TakenPort&) = delete;
  TakenPort& operator=(const TakenPort&) = delete;
  const std::string& address() const { return text_; }

 private:
  int socket_;
  std::string text_;
};

/// \return an address whose port was free a moment ago.
inline std::string freeAddress() { return TakenPort().address(); }

}  // namespace cypresswall::testing
