/// A fault-injecting proxy between two processes on loopback: it delays bytes, drops bytes in one
/// direction or both, resets connections, and damages HTTP responses.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "cypresswall/emulation/response_damage.h"

namespace cypresswall::testing {

/// Faults that a proxy injects. A connection that lost bytes is reset when the fault is cleared,
/// since TCP never delivers a stream with a gap.
struct ProxyFaults {
  std::chrono::milliseconds delay{0};
  /// Drops bytes from the connecting side to the target.
  bool drop_requests = false;
  bool drop_answers = false;
};

/// \return the address of a proxy for `target`: a higher loopback host, the same port
std::string proxyAddressFor(const std::string& target);

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
  /// Damages responses that begin from now on.
  /// \param seed of the choice of responses, kinds and positions
  void damageResponses(const emulation::ResponseDamage& damage, std::uint64_t seed);
  /// \return the number of damaged responses so far.
  std::uint64_t damagedResponses() const { return damaged_responses_; }

 private:
  class Link;

  void accept();
  void removeLink(const Link& link);

  std::string address_;
  asio::io_context context_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  ProxyFaults faults_;
  emulation::ResponseDamage damage_;
  common::SeededRandom random_{1};
  std::atomic<std::uint64_t> damaged_responses_{0};
  std::list<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace cypresswall::testing
