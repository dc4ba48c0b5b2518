/// A fault-injecting proxy between two processes on loopback: it delays bytes, drops bytes in one
/// direction or both, and resets connections.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace cypresswall::testing {

/// Faults that a proxy injects. A connection that lost bytes is reset when the fault is cleared,
/// since TCP never delivers a stream with a gap.
struct ProxyFaults {
  std::chrono::milliseconds delay{0};
  /// Drops bytes from the connecting side to the target.
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
  /// Sets the faults from now on. If no bytes are dropped any more, connections that lost bytes are
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
