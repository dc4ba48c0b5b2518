/// Connections to servers over TCP.
#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "cypresswall/api/server_connections.h"
#include "cypresswall/common/event_log.h"
#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

/// CurlMulti reports the connections that it opens; probes are plain TCP connections.
class TcpServerConnections final : public api::ServerConnections {
 public:
  /// \param connect_time_limit a probe that takes longer counts as not established
  /// \pre `context` and `log` outlive this object
  TcpServerConnections(asio::io_context& context, common::LogSink& log,
                       common::Duration connect_time_limit)
      : context_(context), log_(log), connect_time_limit_(connect_time_limit) {}
  TcpServerConnections(const TcpServerConnections&) = delete;
  TcpServerConnections& operator=(const TcpServerConnections&) = delete;

  void probe(const common::Address& address, ProbeCallback callback) override;

 private:
  asio::io_context& context_;
  common::LogSink& log_;
  common::Duration connect_time_limit_;
  /// Pending probes hold weak pointers to this flag, which expire when this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cypresswall::runtime
