/// One request and its answer on their way through RESTinio.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <restinio/request_handler.hpp>
#include <string>
#include <vector>

#include "cypresswall/http/chunk_buffer.h"
#include "cypresswall/http/connection.h"
#include "cypresswall/http/server.h"

namespace cypresswall::http {

/// What all exchanges of a server share.
struct ServerState {
  explicit ServerState(asio::io_context& io_context) : context(io_context) {}

  asio::io_context& context;
  std::size_t open_requests = 0;
  /// Number of periodic checks so far, a coarse clock for the activity of exchanges.
  std::uint64_t checks = 0;
  /// Set when the server takes no new connections: answers then end their connection.
  bool stopping = false;
  /// False once the listening socket is closed and what it had accepted is in the table.
  bool listening = false;
};

/// Takes the answer from the handler's Responder and feeds it to RESTinio. Bytes written within one
/// turn of the event loop, or while earlier bytes are on their way, leave in one write. The chunks
/// between a stream's header and its end go to the socket directly, and through RESTinio only what
/// the socket does not take at once: RESTinio's own path costs several times the system call.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<ServerState> server, std::shared_ptr<Connection> connection,
           restinio::impl::connection_handle_t handle, restinio::request_id_t request_id,
           bool keep_alive);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void respond(int status, const std::vector<Header>& headers, std::string body);
  void startStream(int status, const std::vector<Header>& headers);
  void write(std::string_view chunk);
  void finishStream();
  void abort();
  std::size_t pendingBytes() const { return buffer_.pendingBytes() + bytes_in_flight_; }
  /// \return ServerState::checks at the last write of the handler.
  std::uint64_t lastActivity() const { return last_activity_; }
  void onDrained(std::function<void()> callback) { on_drained_ = std::move(callback); }
  void onClosed(std::function<void()> callback) { on_closed_ = std::move(callback); }

  /// The handler gave its Responder up; an open answer is ended.
  void responderDropped();
  /// The caller's connection ended.
  void connectionClosed();

 private:
  using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

  enum class State : std::uint8_t { kWaiting, kStreaming, kFinishing, kSent, kClosed };

  template <typename Output>
  restinio::response_builder_t<Output> makeBuilder(int status, const std::vector<Header>& headers);
  void scheduleFlush();
  void flush();
  /// Gives the buffered bytes to the socket; RESTinio gets what is left over.
  void flushDirectly();
  void flushThroughRestinio();
  void notifyDrained();
  void written(bool last);
  /// The exchange is over; counts it and lets the connection forget it.
  void complete();

  std::shared_ptr<ServerState> server_;
  std::shared_ptr<Connection> connection_;
  restinio::impl::connection_handle_t handle_;
  restinio::request_id_t request_id_;
  bool keep_alive_;
  bool completed_ = false;
  State state_ = State::kWaiting;
  std::optional<ChunkedBuilder> builder_;
  restinio::response_connection_attr_t connection_attribute_ =
      restinio::response_connection_attr_t::connection_close;
  ChunkBuffer buffer_;
  std::size_t bytes_in_flight_ = 0;
  std::uint64_t last_activity_;
  bool header_pending_ = false;
  bool flush_scheduled_ = false;
  bool write_in_flight_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_closed_;
};

}  // namespace cypresswall::http
