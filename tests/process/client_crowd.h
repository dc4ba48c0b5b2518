/// Many TCP clients at once, each of which sends prepared bytes and stays connected, however a
/// server treats it.
#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::testing {

/// What one client sends, in this order.
struct ClientScript {
  std::string head = {};
  /// Sent `blocks` times.
  std::string block = {};
  std::size_t blocks = 0;
  std::string end = {};
  /// If false, the client takes no byte from its connection, and has small receive buffers.
  bool reads = true;
};

/// Runs on a thread of its own until it is destroyed, which closes all connections.
class ClientCrowd {
 public:
  /// \param address "IP:port"
  ClientCrowd(const std::string& address, std::size_t clients, ClientScript script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Waits until each client has sent its script or lost its connection, and calls `poll` again
  /// and again meanwhile. \return false if that takes longer than `limit`
  bool waitUntilSettled(common::Duration limit, const std::function<void()>& poll) const;
  /// \return the number of clients that got an answer with this status
  std::size_t answered(int status) const;

 private:
  class Client;

  asio::io_context context_;
  ClientScript script_;
  std::atomic<std::size_t> settled_{0};
  std::vector<std::shared_ptr<Client>> clients_;
  std::thread thread_;
};

}  // namespace cypresswall::testing
