/// HTTP/1.1 server for the gateway, the operators' API and the stand-ins. Hides RESTinio, whose
/// headers are slow to compile, from the rest of the project.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/handler_guard.h"
#include "cypresswall/common/header_field.h"
#include "cypresswall/common/time.h"
#include "cypresswall/http/caller_memory.h"
#include "cypresswall/http/request_limits.h"

namespace cypresswall::http {

/// Thrown if the server can't listen on its address.
class ListenError : public common::Error {
 public:
  using common::Error::Error;
};

/// Thrown if another socket uses the address.
class AddressInUse : public ListenError {
 public:
  using ListenError::ListenError;
};

using Header = common::HeaderField;

struct Request {
  std::string method;
  /// Decoded path without the query.
  std::string path;
  /// Raw request target, with the query.
  std::string target;
  std::map<std::string, std::string> query;
  std::vector<Header> headers;
  std::string body;
  std::string remote_address;

  /// \return the value of the first header with this name (ignoring case), or an empty string.
  std::string header(const std::string& name) const;
};

/// Answers one request, either completely or as a stream of chunks. If the responder is destroyed
/// without an answer, the caller gets a 500.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends the complete answer.
  virtual void respond(int status, const std::vector<Header>& headers, std::string body) = 0;
  /// Starts a chunked answer.
  virtual void startStream(int status, const std::vector<Header>& headers) = 0;
  /// Queues bytes of a chunked answer. Never blocks; see pendingBytes() for back-pressure.
  virtual void write(std::string_view chunk) = 0;
  virtual void finishStream() = 0;
  /// Closes the connection without completing the answer, so that the caller detects truncation.
  virtual void abort() = 0;
  /// \return the number of queued bytes that the socket has not accepted yet.
  virtual std::size_t pendingBytes() const = 0;
  /// Calls `callback` whenever the socket accepted queued bytes.
  virtual void onDrained(std::function<void()> callback) = 0;
  /// Calls `callback` once, in a later iteration of the event loop, if the caller's connection ends
  /// before the answer is complete. A connection also counts as ended if the caller only closes its
  /// sending side.
  virtual void onClosed(std::function<void()> callback) = 0;
};

using Handler = std::function<void(Request request, std::shared_ptr<Responder> responder)>;

/// A request that the server itself answered with a 4xx, or whose connection it closed, because it
/// was malformed, truncated or exceeded a limit.
struct Rejection {
  int status = 400;
  std::string reason;
  std::string remote_address;
};

struct ServerSettings {
  /// "IP:port"; port 0 selects a free port.
  std::string address;
  std::size_t maximum_header_bytes = 32U << 10;
  std::size_t maximum_body_bytes = 16U << 20;
  /// Further connections wait to be accepted. Before so many are open, those that have sent nothing
  /// are closed for new ones, and others that callers can't expect to stay open.
  std::size_t maximum_connections = 10000;
  /// Time limit within which a request must arrive completely, counted from its first byte.
  common::Duration header_time_limit = std::chrono::seconds(10);
  /// Idle timeout of kept-alive connections, and of handlers that write nothing.
  common::Duration idle_time_limit = std::chrono::minutes(5);
  /// A connection is closed if queued bytes can't be sent for this long.
  common::Duration write_time_limit = std::chrono::seconds(30);
  /// Additional headers of the server's own 4xx answers, besides Content-Type.
  std::vector<Header> rejection_headers = {};
  /// Called once for each rejection, for logging and counters; may be empty.
  std::function<void(const Rejection&)> on_rejected = {};
  /// Returns limits that apply besides those above, to each request that begins; may be empty.
  std::function<RequestLimits()> request_limits = {};
  /// What the server keeps for callers is bounded together with that of other servers that use the
  /// same object. If null, it is not bounded.
  std::shared_ptr<CallerMemory> caller_memory = {};
  /// Runs the handler of requests; a request whose handler throws gets a 500. If null, the
  /// connection of such a request is closed. It must outlive the server's connections.
  common::HandlerGuard* guard = nullptr;
  /// Called when connections could not be accepted, as happens while the process is out of
  /// descriptors, and the server tries again; at most a few times a second. May be empty.
  std::function<void()> on_accepts_restarted = {};
};

class Server {
 public:
  virtual ~Server() = default;
  /// Starts listening. \throws ListenError
  virtual void start() = 0;
  /// Stops accepting new connections; open requests continue. Connections that are already
  /// established are still accepted, and each further answer closes its connection. See isIdle().
  virtual void stopListening() = 0;
  /// Closes all connections.
  virtual void close() = 0;
  /// \return the port that the server listens on. \pre start() was called
  virtual std::uint16_t port() const = 0;
  /// \return the number of requests that are not completely answered.
  virtual std::size_t openRequests() const = 0;
  /// \return true once the server has stopped listening and close() would interrupt no request:
  ///   none is open, being received, or yet to arrive on a connection that has carried none so far.
  virtual bool isIdle() const = 0;
};

/// Creates a server whose handler runs on the single thread of `context`.
std::unique_ptr<Server> makeServer(asio::io_context& context, ServerSettings settings,
                                   Handler handler);

}  // namespace cypresswall::http
