/// Closes connections so that callers can read the last answer although they still send.
#pragma once

#include <asio/ip/tcp.hpp>

namespace cypresswall::http {

/// Ends the sending side of each connection, and discards what arrives on it for a limited time:
/// closing a socket with unread input would reset the connection before the answer is read.
class LingeringConnections {
 public:
  void close(asio::ip::tcp::socket socket);
};

}  // namespace cypresswall::http
