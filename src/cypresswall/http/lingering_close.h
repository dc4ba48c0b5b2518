/// Closes connections so that callers can read the last answer although they still send.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <memory>

namespace cypresswall::http {

class LingeringClose;

/// Ends the sending side of each connection, and discards what arrives on it for a limited time:
/// closing a socket with unread input would reset the connection before the answer is read. Beyond
/// a number of such connections, the oldest is closed at once.
class LingeringConnections {
 public:
  void setMaximum(std::size_t connections) { maximum_ = connections; }
  void close(asio::ip::tcp::socket socket);

 private:
  static constexpr std::size_t kDefaultMaximum = 1024;

  std::size_t maximum_ = kDefaultMaximum;
  std::deque<std::weak_ptr<LingeringClose>> open_;
};

}  // namespace cypresswall::http
