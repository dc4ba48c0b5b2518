#include "cypresswall/runtime/tcp_server_connections.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "cypresswall/common/event_log.h"
#include "cypresswall/common/socket_address.h"

namespace cypresswall::runtime {
namespace {

/// One connection attempt. Owned by its pending handlers.
class Probe final : public std::enable_shared_from_this<Probe> {
 public:
  Probe(asio::io_context& context, api::ServerConnections::ProbeCallback callback)
      : socket_(context), timer_(context), callback_(std::move(callback)) {}

  void start(const asio::ip::tcp::endpoint& server, common::Duration time_limit) {
    timer_.expires_after(time_limit);
    timer_.async_wait([self = shared_from_this()](const std::error_code& error) {
      if (!error) {
        self->finish(false);
      }
    });
    socket_.async_connect(server, [self = shared_from_this()](const std::error_code& error) {
      self->finish(!error);
    });
  }

 private:
  void finish(bool established) {
    const auto callback = std::exchange(callback_, nullptr);
    if (!callback) {
      return;
    }
    timer_.cancel();
    std::error_code ignored;  // The connection has served its purpose, however its close ends.
    socket_.close(ignored);
    callback(established);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  api::ServerConnections::ProbeCallback callback_;
};

}  // namespace

void TcpServerConnections::probe(const common::Address& address, ProbeCallback callback) {
  const std::weak_ptr<bool> alive = alive_;
  ProbeCallback guarded = [alive, callback = std::move(callback)](bool established) {
    if (!alive.expired()) {
      callback(established);
    }
  };
  try {
    const common::SocketAddress server = common::parseSocketAddress(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.ip), server.port);
    std::make_shared<Probe>(context_, guarded)->start(endpoint, connect_time_limit_);
  } catch (const common::AddressError& error) {
    common::LogEvent(log_, common::LogLevel::kWarning, "server_not_probed")
        .field("server", address)
        .field("error", error.what());
    asio::post(context_, [guarded = std::move(guarded)] { guarded(false); });
  }
}

}  // namespace cypresswall::runtime
