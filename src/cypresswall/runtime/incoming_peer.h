/// One connection on which a peer sends to this node.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cypresswall/runtime/message_frame.h"
#include "cypresswall/runtime/tcp_peer_transport.h"

namespace cypresswall::runtime {

/// Reads frames until the connection is closed. \pre `transport` outlives the object or calls
/// close() first
class IncomingPeer final : public std::enable_shared_from_this<IncomingPeer> {
 public:
  IncomingPeer(asio::ip::tcp::socket socket, TcpPeerTransport& transport);
  void start();
  void close();

 private:
  static constexpr std::size_t kReadBytes = 16U << 10;

  void read();
  void finishRead(const std::error_code& error, std::size_t size);
  /// Passes received bytes to the frame reader. \return false if the connection must be closed.
  bool consume(std::size_t size);
  void end();

  asio::ip::tcp::socket socket_;
  /// Null after close().
  TcpPeerTransport* transport_;
  std::string remote_;
  FrameReader frames_;
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace cypresswall::runtime
