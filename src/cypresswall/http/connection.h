/// The server's own record of each caller's connection, and the socket type that RESTinio works on.
/// Together they give what RESTinio does not: an answer to requests that it can't parse, a time
/// limit for requests that arrive in part, and an abort in the middle of an answer.
#pragma once

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cypresswall::http {

class ConnectionSocket;
class Exchange;

using ConnectionId = std::uint64_t;

/// One connection: its socket, the exchanges that are not fully answered, and the state of reading.
/// Only used on the server's one thread.
class Connection {
 public:
  Connection(ConnectionId id, ConnectionSocket& socket) : id_(id), socket_(&socket) {}

  ConnectionId id() const { return id_; }

  void addExchange(const std::shared_ptr<Exchange>& exchange) { exchanges_.push_back(exchange); }
  void removeExchange(const Exchange* exchange);
  /// \return the open exchanges, and forgets them.
  std::vector<std::shared_ptr<Exchange>> takeExchanges() { return std::exchange(exchanges_, {}); }
  bool hasExchanges() const { return !exchanges_.empty(); }
  /// \return the exchange whose answer is next on the connection; null if there is none.
  const Exchange* firstExchange() const {
    return exchanges_.empty() ? nullptr : exchanges_.front().get();
  }

  /// Notes the result of a read. The first bytes of a request start its time limit, and are
  /// answered by "100 Continue" if the caller waits for that; the end of the stream in the middle
  /// of a request is told to the listener.
  void readEnded(const asio::error_code& error, std::string_view bytes);
  /// Calls `listener` when the caller ends its side in the middle of a request.
  void onTruncated(std::function<void()> listener) { on_truncated_ = std::move(listener); }
  /// Notes that a whole request arrived.
  void requestCompleted() {
    receiving_since_.reset();
    asked_ = true;
  }
  /// \return true if a request is arriving, lies unread, or is still to come on a new connection.
  bool awaitsRequest() const;
  /// \return since when a request is arriving; nothing if none is.
  std::optional<std::chrono::steady_clock::time_point> receivingSince() const {
    return receiving_since_;
  }

  /// Gives bytes to the socket without waiting, past RESTinio.
  /// \pre RESTinio has nothing to write on this connection
  /// \return how many bytes were taken, nothing if the connection is broken
  std::optional<std::size_t> sendNow(std::string_view bytes);
  /// Sends `answer` outside RESTinio, as far as the socket takes it at once, and makes the socket
  /// linger when it is closed, so that the caller can read the answer. Does nothing while another
  /// answer of this connection is under way.
  void sendLastAnswer(const std::string& answer);
  /// Ends both directions; RESTinio notices and closes the connection.
  void shutdown();

  /// The socket is destroyed or closed.
  void socketGone() { socket_ = nullptr; }
  /// Keeps `server` until the socket is destroyed: before that, RESTinio's connection reports its
  /// end to RESTinio's server, to which it only has a plain pointer.
  void keepAlive(std::shared_ptr<const void> server) { server_ = std::move(server); }

 private:
  ConnectionId id_;
  ConnectionSocket* socket_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  std::optional<std::chrono::steady_clock::time_point> receiving_since_;
  std::function<void()> on_truncated_;
  bool asked_ = false;
  std::shared_ptr<const void> server_;
};

/// A TCP socket that knows its Connection. It hides the few operations of its base that RESTinio
/// calls and that need more than the base does.
class ConnectionSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit ConnectionSocket(asio::io_context& context) : Base(context) {}
  ConnectionSocket(ConnectionSocket&&) = default;
  ConnectionSocket& operator=(ConnectionSocket&&) = delete;
  ConnectionSocket(const ConnectionSocket&) = delete;
  ConnectionSocket& operator=(const ConnectionSocket&) = delete;
  ~ConnectionSocket();

  void attach(std::shared_ptr<Connection> connection);

  /// Makes the next close() let the caller read what was sent.
  void lingerOnClose() { linger_on_close_ = true; }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler handler) {  // NOLINT: name of the base
    const asio::mutable_buffer target = *asio::buffer_sequence_begin(buffers);
    Base::async_read_some(target, [connection = connection_, target, handler = std::move(handler)](
                                      const asio::error_code& error, std::size_t length) mutable {
      if (connection) {
        connection->readEnded(error, {static_cast<const char*>(target.data()), length});
      }
      handler(error, length);
    });
  }

  void shutdown(shutdown_type what, asio::error_code& error);
  void close();

 private:
  std::shared_ptr<Connection> connection_;
  bool linger_on_close_ = false;
};

/// \return the connection that was attached last on this thread. RESTinio announces a connection
///   to its state listener, which is not given the socket, directly after it prepared the socket.
std::shared_ptr<Connection>& lastPreparedConnection();

/// Called by RESTinio, found by argument-dependent lookup, before it starts to read.
template <typename RestinioConnection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(  // NOLINT: name given by RESTinio
    ConnectionSocket& socket, RestinioConnection& connection, StartRead start_read, Failed) {
  auto record = std::make_shared<Connection>(connection.connection_id(), socket);
  socket.attach(record);
  lastPreparedConnection() = std::move(record);
  start_read();
}

}  // namespace cypresswall::http
