/// One request and its answer, processed through RESTinio.
#pragma once

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
#include "cypresswall/http/server_state.h"

namespace cypresswall::http {

/// Passes the answer from the handler's Responder to RESTinio. Bytes written within one iteration
/// of the event loop, or during an earlier write, are coalesced into one write. Chunks between a
/// stream's header and its end are written directly to the socket; only the part that the socket
/// does not accept at once goes through RESTinio, whose write path is several times as expensive as
/// the system call.
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
  /// \return the value of ServerState::checks at the handler's last write.
  std::uint64_t lastActivity() const { return last_activity_; }
  void onDrained(std::function<void()> callback) { on_drained_ = std::move(callback); }
  void onClosed(std::function<void()> callback) { on_closed_ = std::move(callback); }

  /// Frees a complete answer. \pre its connection has ended
  void discardAnswer();
  /// Called when the handler released its Responder; ends an unfinished answer.
  void responderDropped();
  /// Called when the caller's connection ended.
  void connectionClosed();

 private:
  using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

  enum class State : std::uint8_t { kWaiting, kStreaming, kFinishing, kSent, kClosed };

  template <typename Output>
  restinio::response_builder_t<Output> makeBuilder(int status, const std::vector<Header>& headers);
  void scheduleFlush();
  void flush();
  /// Writes the buffered bytes to the socket; any remainder is sent through RESTinio.
  void flushDirectly();
  void flushThroughRestinio();
  void notifyDrained();
  void onWritten(bool last);
  /// Charges the connection for the bytes that the socket has not accepted yet.
  void chargeUnsent();
  void releaseMemory();
  /// Ends the exchange: updates the open-request count and removes it from the connection.
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
  /// Body of a complete answer, which RESTinio uses until it is sent.
  std::shared_ptr<std::string> answer_;
  ChunkBuffer buffer_;
  std::size_t bytes_in_flight_ = 0;
  /// Bytes of the request and of the answer that the connection is charged for.
  std::size_t request_bytes_;
  std::size_t unsent_bytes_ = 0;
  std::uint64_t last_activity_;
  bool header_pending_ = false;
  bool flush_scheduled_ = false;
  bool write_in_flight_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_closed_;
};

}  // namespace cypresswall::http
