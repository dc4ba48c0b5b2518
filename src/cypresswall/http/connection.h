/// The server's own state of each caller's connection, and the socket type used by RESTinio.
/// Together they add what RESTinio lacks: an answer to requests that it can't parse, a timeout for
/// partially received requests, and aborting a connection in the middle of an answer.
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

#include "cypresswall/http/incoming_request.h"
#include "cypresswall/http/server_state.h"

namespace cypresswall::http {

class ConnectionSocket;
class Exchange;

using ConnectionId = std::uint64_t;

/// One connection: its socket, its unfinished exchanges and its read state. Not thread-safe; used
/// on the server's thread only.
class Connection {
 public:
  using TimePoint = CallerMemory::TimePoint;

  Connection(ConnectionId id, ConnectionSocket& socket) : id_(id), socket_(&socket) {}

  ConnectionId id() const { return id_; }

  /// Makes this a connection of `server`. Called once, before anything is read.
  /// \param on_reclaimed called if the server needs the memory that the connection takes
  void join(const std::shared_ptr<ServerState>& server, std::function<void()> on_reclaimed);
  /// \pre join() was called, as for the functions below
  MemoryAccount& memory() { return *memory_; }
  IncomingRequest& incoming() { return *incoming_; }
  LingeringConnections& lingering() { return server_state_->lingering; }

  void addExchange(const std::shared_ptr<Exchange>& exchange) { exchanges_.push_back(exchange); }
  void removeExchange(const Exchange* exchange);
  /// Removes and returns the open exchanges.
  std::vector<std::shared_ptr<Exchange>> takeExchanges() { return std::exchange(exchanges_, {}); }
  const std::vector<std::shared_ptr<Exchange>>& exchanges() const { return exchanges_; }
  bool hasExchanges() const { return !exchanges_.empty(); }
  /// \return the exchange that is answered next on the connection; null if there is none.
  const Exchange* firstExchange() const {
    return exchanges_.empty() ? nullptr : exchanges_.front().get();
  }

  /// Processes the result of a read. The first bytes of a request start its timeout and are
  /// answered with "100 Continue" if the caller expects it. Calls the truncation listener if the
  /// connection ends in the middle of a request.
  void onRead(const asio::error_code& error, std::string_view bytes);
  /// Processes the result of a write of an answer.
  void onWritten(std::size_t bytes);
  /// Sets the listener called when the caller closes its side in the middle of a request.
  void onTruncated(std::function<void()> listener) { on_truncated_ = std::move(listener); }
  /// Records that a request was received completely.
  void onRequestCompleted() {
    receiving_since_.reset();
    request_received_ = true;
  }
  /// \return true if nothing has been read since the connection was opened
  bool isSilent() const { return !request_received_ && !receiving_since_; }
  /// \return true if bytes have arrived that were not read
  bool hasUnreadInput() const;
  /// \return true if the connection is open between two requests
  bool isResting() const { return request_received_ && !receiving_since_ && !hasExchanges(); }
  /// \return the time at which bytes arrived or an answer was sent last, or else the connection was
  ///   opened
  TimePoint lastActive() const { return last_active_; }
  /// \return true if a request is being received, is waiting in the socket, or has yet to arrive
  ///   on a new connection.
  bool awaitsRequest() const;
  /// \return the time at which the request that is being received began to arrive; empty if none is
  ///   being received.
  std::optional<TimePoint> receivingSince() const { return receiving_since_; }

  /// Writes bytes to the socket without blocking, bypassing RESTinio.
  /// \pre RESTinio has no pending writes on this connection
  /// \return the number of bytes written; empty if the connection is broken
  std::optional<std::size_t> sendNow(std::string_view bytes);
  /// Sends as much of `answer` as the socket accepts without blocking, bypassing RESTinio, and
  /// enables lingering on close so that the caller can read the answer. Does nothing while another
  /// exchange is open on this connection.
  void sendLastAnswer(const std::string& answer);
  /// Shuts down the sending side, so that nothing follows the last answer.
  void stopSending();
  /// Shuts down both directions; RESTinio detects this and closes the connection.
  void shutdown();
  /// Discards what has arrived of a request, and whatever arrives later, and gives up answers that
  /// are being sent: no buffer of theirs is used any more. RESTinio then closes the connection as
  /// if the caller had. What sendLastAnswer() has sent can still be read.
  void end();
  /// \return true after end()
  bool ended() const { return ended_; }

  /// Called when the socket is destroyed or closed.
  void onSocketClosed();
  /// Keeps `server` alive until the socket is destroyed: RESTinio's connection holds only a raw
  /// pointer to RESTinio's server and uses it to report that the connection ended.
  void retainServer(std::shared_ptr<const void> server) { server_ = std::move(server); }

 private:
  ConnectionId id_;
  ConnectionSocket* socket_;
  std::shared_ptr<ServerState> server_state_;
  std::optional<MemoryAccount> memory_;
  std::optional<IncomingRequest> incoming_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  std::optional<TimePoint> receiving_since_;
  std::function<void()> on_truncated_;
  bool request_received_ = false;
  bool ended_ = false;
  TimePoint last_active_{};
  std::shared_ptr<const void> server_;
};

/// A TCP socket with a reference to its Connection. Shadows the base-class operations called by
/// RESTinio that need additional behaviour.
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

  /// Makes the next close() end only the sending side at first and discard input for a limited
  /// time, without blocking, so that the caller can read the sent bytes.
  void lingerOnClose() { linger_on_close_ = true; }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler handler) {  // NOLINT: name of the base
    const asio::mutable_buffer target = *asio::buffer_sequence_begin(buffers);
    Base::async_read_some(target, [connection = connection_, target, handler = std::move(handler)](
                                      const asio::error_code& error, std::size_t length) mutable {
      if (!connection) {
        handler(error, length);
        return;
      }
      if (connection->ended()) {
        handler(asio::error::eof, 0);
        return;
      }
      connection->onRead(error, {static_cast<const char*>(target.data()), length});
      const IncomingRequest::Reading reading(connection->incoming());
      handler(error, length);
    });
  }

  /// The handler is a reference as in the base: it owns the buffers that asio::async_write()
  /// passes.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {  // NOLINT: name of the base
    Base::async_write_some(buffers,
                           [connection = connection_, handler = std::forward<Handler>(handler)](
                               const asio::error_code& error, std::size_t length) mutable {
                             if (connection) {
                               connection->onWritten(length);
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

/// \return the connection attached most recently on this thread. RESTinio's state listener gets no
///   access to the socket, but is called immediately after the socket is prepared.
std::shared_ptr<Connection>& lastPreparedConnection();

/// Customisation point of RESTinio (found by argument-dependent lookup), called before reading
/// starts.
template <typename RestinioConnection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(  // NOLINT: name required by RESTinio
    ConnectionSocket& socket, RestinioConnection& connection, StartRead start_read, Failed) {
  auto record = std::make_shared<Connection>(connection.connection_id(), socket);
  socket.attach(record);
  lastPreparedConnection() = std::move(record);
  start_read();
}

}  // namespace cypresswall::http
