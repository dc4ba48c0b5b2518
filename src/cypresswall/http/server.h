/// HTTP/1.1 server for the gateway, the operators' API and the stand-ins. The only header through
/// which the project uses RESTinio, whose own headers are slow to compile.
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
#include "cypresswall/common/header_field.h"
#include "cypresswall/common/time.h"

namespace cypresswall::http {

/// An address can't be listened on.
class ListenError : public common::Error {
 public:
  using common::Error::Error;
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

  /// \return the first header of that name (case ignored), or an empty string.
  std::string header(const std::string& name) const;
};

/// Answers one request, whole or as a stream of chunks. If it is destroyed before it answered, the
/// caller gets a 500.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Gives the whole answer.
  virtual void respond(int status, const std::vector<Header>& headers, std::string body) = 0;
  /// Starts a chunked answer.
  virtual void startStream(int status, const std::vector<Header>& headers) = 0;
  /// Queues bytes of a chunked answer. Never blocks; see pendingBytes().
  virtual void write(std::string_view chunk) = 0;
  virtual void finishStream() = 0;
  /// Ends the connection in the middle, so that the caller sees a broken answer.
  virtual void abort() = 0;
  /// \return bytes queued and not yet taken by the socket.
  virtual std::size_t pendingBytes() const = 0;
  /// Calls `callback` whenever queued bytes were taken by the socket.
  virtual void onDrained(std::function<void()> callback) = 0;
  /// Calls `callback` once, on a later turn of the event loop, if the caller's connection ends
  /// before the answer is complete. The connection counts as ended as soon as the caller closes its
  /// side, also if it only closes it for sending.
  virtual void onClosed(std::function<void()> callback) = 0;
};

using Handler = std::function<void(Request request, std::shared_ptr<Responder> responder)>;

/// A request that the server answered by itself with a 4xx because it was malformed, truncated or
/// over a limit, or whose connection it had to end.
struct Rejection {
  int status = 400;
  std::string reason;
  std::string remote_address;
};

struct ServerSettings {
  /// "IP:port"; port 0 takes a free one.
  std::string address;
  std::size_t maximum_header_bytes = 32U << 10;
  std::size_t maximum_body_bytes = 16U << 20;
  std::size_t maximum_connections = 10000;
  /// Time in which a request must arrive whole, from its first byte.
  common::Duration header_time_limit = std::chrono::seconds(10);
  /// Longest silence of a kept-alive connection, and of a handler that writes nothing.
  common::Duration idle_time_limit = std::chrono::minutes(5);
  /// How long the socket may take none of the queued bytes before the connection is ended.
  common::Duration write_time_limit = std::chrono::seconds(30);
  /// Headers of the server's own 4xx answers, besides Content-Type.
  std::vector<Header> rejection_headers = {};
  /// Called once for each rejection, for the log and counters; may be empty.
  std::function<void(const Rejection&)> on_rejected = {};
};

class Server {
 public:
  virtual ~Server() = default;
  /// Begins to listen. \throws ListenError
  virtual void start() = 0;
  /// Takes no new connections; open requests go on. Connections that callers have made already are
  /// accepted still, and each answer from now on ends its connection. See isIdle().
  virtual void stopListening() = 0;
  /// Ends all connections.
  virtual void close() = 0;
  /// \return the port in use, after start().
  virtual std::uint16_t port() const = 0;
  /// \return number of requests that are not fully answered.
  virtual std::size_t openRequests() const = 0;
  /// \return true once the server has stopped listening and close() would cut no request: none is
  ///   open, on its way in, or still to come on a connection that has carried none yet.
  virtual bool isIdle() const = 0;
};

/// Makes a server whose handler runs on `context`'s one thread.
std::unique_ptr<Server> makeServer(asio::io_context& context, ServerSettings settings,
                                   Handler handler);

}  // namespace cypresswall::http
