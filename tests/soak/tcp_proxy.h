/// A proxy between two processes on loopback that harms what passes through it: it delays bytes,
/// drops what goes one way or both, and resets connections.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace cypresswall::testing {

/// What a proxy does to bytes that pass. A dropped byte ends its connection when the harm is over:
/// as in TCP, nothing arrives with a gap.
struct ProxyFaults {
  std::chrono::milliseconds delay{0};
  /// From whoever connected to the target.
  bool drop_requests = false;
  bool drop_answers = false;
};

class TcpProxy {
 public:
  /// Listens at `address` and connects to `target`, both "IP:port". \throws asio::system_error
  TcpProxy(const std::string& address, const std::string& target);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  const std::string& address() const { return address_; }
  /// Sets what is done to bytes from now on; without any harm, connections that lost bytes are
  /// reset.
  void setFaults(const ProxyFaults& faults);
  /// Resets every open connection.
  void resetConnections();

 private:
  class Link;

  void accept();
  void removeLink(const Link& link);

  std::string address_;
  asio::io_context context_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  ProxyFaults faults_;
  std::list<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace cypresswall::testing
