/// State shared by all connections and exchanges of a server.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "cypresswall/http/caller_memory.h"
#include "cypresswall/http/lingering_close.h"
#include "cypresswall/http/request_limits.h"

namespace cypresswall::http {

struct ServerState {
  explicit ServerState(asio::io_context& io_context) : context(io_context) {}

  asio::io_context& context;
  std::size_t open_requests = 0;
  /// Number of the server's periodic checks so far, which serves as a coarse clock for the last
  /// activity of exchanges.
  std::uint64_t checks = 0;
  /// Set once the server accepts no new connections; each answer then closes its connection.
  bool stopping = false;
  /// False once the listening socket is closed and all accepted connections are in the server's
  /// ConnectionTable.
  bool listening = false;
  /// Never null.
  std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>();
  /// \return the limits of a request that begins now
  std::function<RequestLimits()> request_limits = [] { return RequestLimits(); };
  LingeringConnections lingering;
};

}  // namespace cypresswall::http
