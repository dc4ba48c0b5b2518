#include "cypresswall/runtime/incoming_peer.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <utility>

namespace cypresswall::runtime {
namespace {

constexpr int kKeepaliveIdleSeconds = 30;
constexpr int kKeepaliveIntervalSeconds = 10;
constexpr int kKeepaliveProbes = 3;

/// Lets the kernel close the connection of a peer that disappeared without closing it.
void enableKeepalive(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbes, sizeof(int));
}

std::string remoteAddress(const asio::ip::tcp::socket& socket) {
  std::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

IncomingPeer::IncomingPeer(asio::ip::tcp::socket socket, TcpPeerTransport& transport)
    : socket_(std::move(socket)),
      transport_(&transport),
      remote_(remoteAddress(socket_)),
      frames_(transport.settings_.maximum_envelope_bytes) {}

void IncomingPeer::start() {
  enableKeepalive(socket_);
  read();
}

void IncomingPeer::close() {
  transport_ = nullptr;
  std::error_code ignored;
  socket_.close(ignored);
}

void IncomingPeer::read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const std::error_code& error, std::size_t size) {
        self->finishRead(error, size);
      });
}

void IncomingPeer::finishRead(const std::error_code& error, std::size_t size) {
  if (transport_ == nullptr) {
    return;
  }
  if (error || !consume(size)) {
    end();
    return;
  }
  if (transport_ != nullptr) {
    read();
  }
}

bool IncomingPeer::consume(std::size_t size) {
  transport_->counters_.received_bytes.add(size);
  try {
    frames_.feed(std::string_view(buffer_.data(), size), [this](std::string_view frame) {
      if (transport_ != nullptr) {
        transport_->receive(frame);
      }
    });
    return true;
  } catch (const std::exception& error) {
    if (transport_ == nullptr) {
      return false;
    }
    transport_->counters_.protocol_errors.add();
    common::LogEvent(transport_->log_, common::LogLevel::kWarning, "peer_connection_refused")
        .field("remote", remote_)
        .field("error", error.what());
    return false;
  }
}

void IncomingPeer::end() {
  if (transport_ == nullptr) {
    return;
  }
  TcpPeerTransport* const transport = std::exchange(transport_, nullptr);
  std::error_code ignored;
  socket_.close(ignored);
  transport->removeIncoming(shared_from_this());
}

}  // namespace cypresswall::runtime
