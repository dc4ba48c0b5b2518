#include "cypresswall/http/server.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <optional>
#include <restinio/http_server.hpp>
#include <restinio/settings.hpp>
#include <restinio/uri_helpers.hpp>
#include <unordered_map>
#include <utility>

#include "cypresswall/common/at_scope_end.h"
#include "cypresswall/common/header_names.h"
#include "cypresswall/http/accept_limiter.h"
#include "cypresswall/http/exchange.h"
#include "cypresswall/http/listening_socket.h"
#include "cypresswall/http/rejection.h"
#include "cypresswall/http/request_parser.h"

namespace cypresswall::http {
namespace {

/// Maximum number of open requests per connection. It must be greater than one so that RESTinio
/// continues to read while a request runs and thereby detects that the caller disconnects.
constexpr std::size_t kPipelinedRequests = 2;
/// Connections accepted per iteration of the event loop. Limits how long callers wait to be
/// accepted while the loop is busy with streams.
constexpr std::size_t kAcceptsPerIteration = 16;
/// Before a server is full by less than this share, connections are closed for new ones.
constexpr std::size_t kSpareConnectionsDivisor = 8;
/// Share of the connections that may linger besides those that are open.
constexpr std::size_t kLingeringConnectionsDivisor = 8;
constexpr std::size_t kLeastLingeringConnections = 16;
/// A request of which nothing has arrived for this long gives way to a new connection.
constexpr std::chrono::seconds kStalledTime(1);
/// When a caller may send a request again for which there was no memory, in seconds.
constexpr const char* kMemoryRetryAfter = "1";
constexpr std::size_t kMaximumHeaderFields = 128;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
/// Interval of the checks for requests that arrive too slowly and for idle handlers.
constexpr std::chrono::seconds kCheckPeriod(1);
/// Interval at which a stopping server polls for connections waiting to be accepted.
constexpr std::chrono::milliseconds kBacklogCheckPeriod(1);
/// Interval of the checks for callers that wait to be accepted although there is room.
constexpr std::chrono::milliseconds kAcceptCheckPeriod(250);
/// RESTinio's handler timeout, effectively disabled: RESTinio does not see the writes that go
/// directly to the socket. ServerSettings::idle_time_limit applies instead.
constexpr std::chrono::hours kHandlerTimeout(24 * 365);

/// Implements Responder on top of an Exchange, and notifies it when the handler releases it.
class ExchangeResponder final : public Responder {
 public:
  explicit ExchangeResponder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  ~ExchangeResponder() override { exchange_->responderDropped(); }
  ExchangeResponder(const ExchangeResponder&) = delete;
  ExchangeResponder& operator=(const ExchangeResponder&) = delete;

  void respond(int status, const std::vector<Header>& headers, std::string body) override {
    exchange_->respond(status, headers, std::move(body));
  }
  void startStream(int status, const std::vector<Header>& headers) override {
    exchange_->startStream(status, headers);
  }
  void write(std::string_view chunk) override { exchange_->write(chunk); }
  void finishStream() override { exchange_->finishStream(); }
  void abort() override { exchange_->abort(); }
  std::size_t pendingBytes() const override { return exchange_->pendingBytes(); }
  void onDrained(std::function<void()> callback) override {
    exchange_->onDrained(std::move(callback));
  }
  void onClosed(std::function<void()> callback) override {
    exchange_->onClosed(std::move(callback));
  }

 private:
  std::shared_ptr<Exchange> exchange_;
};

/// \return "IP:port" of a peer.
std::string addressText(const restinio::endpoint_t& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Converts RESTinio's request to a Request without its body. \throws std::exception if the target
/// can't be decoded
Request convertRequest(const restinio::request_handle_t& source) {
  Request request;
  const auto& header = source->header();
  request.method = header.method().c_str();
  request.target = header.request_target();
  request.path =
      restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>(
          header.path());
  const auto query = restinio::parse_query<restinio::parse_query_traits::relaxed>(header.query());
  for (const auto& [name, value] : query) {
    request.query.emplace(std::string(name), std::string(value));
  }
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  request.remote_address = addressText(source->remote_endpoint());
  return request;
}

/// RESTinio's parser accepts some heads whose body others would end elsewhere.
/// \return what makes the end of the request ambiguous (RFC 9112, sections 5.1 and 6.1), or null
const char* framingDefect(const restinio::http_request_header_t& header) {
  const char* defect = nullptr;
  int codings = 0;
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    if (!common::isHeaderName(field.name())) {
      defect = "malformed header name";
    } else if (common::sameHeaderName(field.name(), "Transfer-Encoding")) {
      ++codings;
      const bool chunked = common::sameHeaderName(field.value(), "chunked");
      defect = chunked && codings == 1 ? defect : "unsupported transfer coding";
    }
  });
  return defect;
}

std::size_t smallerLimit(std::size_t first, std::size_t second) {
  return first == 0 || second == 0 ? std::max(first, second) : std::min(first, second);
}

common::Duration smallerLimit(common::Duration first, common::Duration second) {
  const common::Duration none{0};
  return first == none || second == none ? std::max(first, second) : std::min(first, second);
}

/// \return the limits of a server's settings and those that apply besides them
RequestLimits limitsInForce(const ServerSettings& settings) {
  RequestLimits limits = settings.request_limits ? settings.request_limits() : RequestLimits();
  limits.maximum_header_bytes =
      smallerLimit(limits.maximum_header_bytes, settings.maximum_header_bytes);
  limits.maximum_body_bytes = smallerLimit(limits.maximum_body_bytes, settings.maximum_body_bytes);
  limits.header_time_limit = smallerLimit(limits.header_time_limit, settings.header_time_limit);
  limits.resting_time_limit = smallerLimit(limits.resting_time_limit, settings.idle_time_limit);
  return limits;
}

/// Holds all connections of a server and routes RESTinio's events to the handler. Outlives the
/// server until all connections have ended.
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable> {
 public:
  ConnectionTable(asio::io_context& context, ServerSettings settings, Handler handler)
      : state_(std::make_shared<ServerState>(context)),
        settings_(std::move(settings)),
        handler_(std::move(handler)),
        check_timer_(context) {
    if (settings_.caller_memory) {
      state_->memory = settings_.caller_memory;
    }
    state_->request_limits = [&settings = settings_] { return limitsInForce(settings); };
    state_->lingering.setMaximum(std::max(
        settings_.maximum_connections / kLingeringConnectionsDivisor, kLeastLingeringConnections));
  }

  const std::shared_ptr<ServerState>& state() const { return state_; }
  const ServerSettings& settings() const { return settings_; }
  /// Sets the RESTinio server, which each connection keeps alive.
  void setServer(std::weak_ptr<const void> server) { server_ = std::move(server); }

  /// \return true if a request is being received, or has yet to arrive on a new connection.
  bool awaitsRequest() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second.connection->awaitsRequest(); });
  }

  void connectionAccepted(ConnectionId id, const restinio::endpoint_t& remote) {
    Entry entry{std::exchange(lastPreparedConnection(), nullptr), addressText(remote)};
    entry.connection->onTruncated([this, id] { requestTruncated(id); });
    entry.connection->retainServer(server_.lock());
    entry.connection->join(state_, [this, id] { connectionReclaimed(id); });
    connections_[id] = std::move(entry);
    makeRoomForConnections(id);
    scheduleCheck();
  }

  void connectionClosed(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    const auto connection = found->second.connection;
    connections_.erase(found);
    connection->onTruncated(nullptr);
    connection->memory().close();
    for (const auto& exchange : connection->takeExchanges()) {
      exchange->connectionClosed();
    }
  }

  restinio::request_handling_status_t handleRequest(const restinio::request_handle_t& source) {
    const auto found = connections_.find(source->connection_id());
    if (found == connections_.end() || !handler_ || found->second.connection->ended()) {
      return restinio::request_rejected();
    }
    const auto connection = found->second.connection;
    if (const char* const defect = framingDefect(source->header())) {
      const bool answered_now = !connection->hasExchanges();
      reject(found->second, 400, defect);
      if (answered_now) {
        connection->stopSending();
      }
      // RESTinio reads no further request then.
      return restinio::request_rejected();
    }
    connection->onRequestCompleted();
    auto exchange = std::make_shared<Exchange>(
        state_, connection, std::move(restinio::impl::access_req_connection(*source)),
        source->request_id(), source->header().should_keep_alive());
    connection->addExchange(exchange);
    runHandler(source, connection->incoming().takeBody(),
               std::make_shared<ExchangeResponder>(std::move(exchange)));
    return restinio::request_accepted();
  }

  /// Handles a connection error. RESTinio reports such errors only in a log message, which it
  /// writes immediately before it closes the connection.
  void onRestinioError(const std::string& message) {
    const auto fault = parseRestinioError(message);
    if (!fault) {
      return;
    }
    const auto found = connections_.find(fault->connection);
    if (found == connections_.end() || found->second.connection->ended()) {
      return;
    }
    const auto& refusal = found->second.connection->incoming().refusal();
    refuse(found->second, refusal ? *refusal : Refusal{fault->status, fault->reason});
  }

  void requestTruncated(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      reject(found->second, 400, "request ended before it was whole");
    }
  }

  /// Ends a connection whose memory others need.
  void connectionReclaimed(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    const Entry entry = found->second;
    if (entry.connection->hasExchanges()) {
      report({kServiceUnavailable, "answer not taken in time", entry.remote_address});
      entry.connection->end();
      for (const auto& exchange : entry.connection->exchanges()) {
        exchange->discardAnswer();
      }
    } else {
      refuse(entry, {kServiceUnavailable, "no memory for the request", true});
    }
  }

  void closeAll() {
    handler_ = nullptr;
    check_timer_.cancel();
    auto connections = std::exchange(connections_, {});
    for (auto& [id, entry] : connections) {
      entry.connection->onTruncated(nullptr);
      entry.connection->memory().close();
      entry.connection->shutdown();
      for (const auto& exchange : entry.connection->takeExchanges()) {
        exchange->connectionClosed();
      }
    }
  }

 private:
  struct Entry {
    std::shared_ptr<Connection> connection;
    std::string remote_address;
  };

  void runHandler(const restinio::request_handle_t& source, std::string body,
                  const std::shared_ptr<Responder>& responder) {
    Request request;
    try {
      request = convertRequest(source);
      request.body = std::move(body);
    } catch (const std::exception& error) {
      respondWithRejection(*responder, source, 400, std::string("request target: ") + error.what());
      return;
    }
    const auto origin = [&] {
      return addressText(source->remote_endpoint()) + " " + source->header().request_target();
    };
    if (!common::runGuarded(settings_.guard, common::EventSource::kRequest, origin,
                            [&] { handler_(std::move(request), responder); })) {
      respondWithRejection(*responder, source, 500, "internal error");
    }
  }

  void respondWithRejection(Responder& responder, const restinio::request_handle_t& source,
                            int status, const std::string& reason) {
    auto headers = settings_.rejection_headers;
    headers.push_back({"Content-Type", "application/json"});
    responder.respond(status, headers, rejectionBody(status, reason));
    report({status, reason, addressText(source->remote_endpoint())});
  }

  void reject(const Entry& entry, int status, const std::string& reason) {
    entry.connection->sendLastAnswer(rejectionAnswer(status, reason, settings_.rejection_headers));
    entry.connection->onRequestCompleted();
    report({status, reason, entry.remote_address});
  }

  /// Rejects a request that has not arrived yet and closes its connection.
  void refuse(const Entry& entry, const Refusal& refusal) {
    auto headers = settings_.rejection_headers;
    if (refusal.temporary) {
      headers.push_back({"Retry-After", kMemoryRetryAfter});
    }
    entry.connection->sendLastAnswer(rejectionAnswer(refusal.status, refusal.reason, headers));
    entry.connection->onRequestCompleted();
    entry.connection->end();
    report({refusal.status, refusal.reason, entry.remote_address});
  }

  /// Keeps places free for new connections: closes connections that callers don't count on, the
  /// oldest first, but not `newest`.
  void makeRoomForConnections(ConnectionId newest) {
    const std::size_t spare =
        std::min(kAcceptsPerIteration, settings_.maximum_connections / kSpareConnectionsDivisor);
    if (connections_.size() + spare <= settings_.maximum_connections) {
      return;
    }
    auto open = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& item) { return !item.second.connection->ended(); }));
    while (open + spare > settings_.maximum_connections) {
      const auto oldest = oldestToClose(newest);
      if (!oldest || oldest->connection->hasUnreadInput()) {
        return;
      }
      refuse(*oldest, {kRequestTimeout, "connection closed for a new one"});
      --open;
    }
  }

  std::optional<Entry> oldestToClose(ConnectionId newest) const {
    const auto now = std::chrono::steady_clock::now();
    const auto resting_limit = limitsInForce(settings_).resting_time_limit;
    std::optional<Entry> oldest;
    for (const auto& [id, entry] : connections_) {
      if (id != newest && mayClose(*entry.connection, now, resting_limit) &&
          (!oldest || entry.connection->lastActive() < oldest->connection->lastActive())) {
        oldest = entry;
      }
    }
    return oldest;
  }

  static bool mayClose(const Connection& connection, CallerMemory::TimePoint now,
                       common::Duration resting_limit) {
    if (connection.ended() || connection.hasExchanges()) {
      return false;
    }
    const auto inactive = now - connection.lastActive();
    if (connection.receivingSince()) {
      return inactive > kStalledTime;
    }
    return connection.isSilent() || (connection.isResting() && inactive > resting_limit);
  }

  void report(const Rejection& rejection) const {
    if (settings_.on_rejected) {
      settings_.on_rejected(rejection);
    }
  }

  void scheduleCheck() {
    if (std::exchange(check_scheduled_, true)) {
      return;
    }
    check_timer_.expires_after(kCheckPeriod);
    check_timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) {
        self->check_scheduled_ = false;
        self->check();
      }
    });
  }

  void check() {
    const common::AtScopeEnd again([this] {
      if (!connections_.empty()) {
        scheduleCheck();
      }
    });
    ++state_->checks;
    endSlowRequests();
    endIdleHandlers();
  }

  void endIdleHandlers() {
    const auto limit = 1 + static_cast<std::uint64_t>(settings_.idle_time_limit / kCheckPeriod);
    for (const auto& [id, entry] : connections_) {
      const auto* exchange = entry.connection->firstExchange();
      if (exchange != nullptr && state_->checks > exchange->lastActivity() + limit) {
        entry.connection->shutdown();
      }
    }
  }

  void endSlowRequests() {
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [id, entry] : connections_) {
      Connection& connection = *entry.connection;
      const auto since = connection.receivingSince();
      if (since && !connection.hasExchanges() && now - *since > timeLimit(connection)) {
        refuse(entry, {kRequestTimeout, "request did not arrive in time"});
      }
    }
  }

  /// \return the time in which what the connection receives must arrive
  common::Duration timeLimit(Connection& connection) const {
    const IncomingRequest& request = connection.incoming();
    return request.headComplete() ? settings_.header_time_limit
                                  : request.limits().header_time_limit;
  }

  std::shared_ptr<ServerState> state_;
  std::weak_ptr<const void> server_;
  ServerSettings settings_;
  Handler handler_;
  asio::steady_timer check_timer_;
  bool check_scheduled_ = false;
  std::unordered_map<ConnectionId, Entry> connections_;
};

/// Notified by RESTinio when it accepts or closes a connection.
class StateListener {
 public:
  explicit StateListener(std::shared_ptr<ConnectionTable> table) : table_(std::move(table)) {}

  void state_changed(  // NOLINT: name required by RESTinio
      const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (std::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      table_->connectionAccepted(notice.connection_id(), notice.remote_endpoint());
    } else {
      table_->connectionClosed(notice.connection_id());
    }
  }

 private:
  std::shared_ptr<ConnectionTable> table_;
};

/// Logger for RESTinio: converts connection errors to rejections; other messages are not formatted.
class ErrorLogger {
 public:
  explicit ErrorLogger(std::shared_ptr<ConnectionTable> table) : table_(std::move(table)) {}

  template <typename MessageBuilder>
  void trace(MessageBuilder&&) const {}
  template <typename MessageBuilder>
  void info(MessageBuilder&&) const {}
  template <typename MessageBuilder>
  void warn(MessageBuilder&&) const {}
  template <typename MessageBuilder>
  void error(MessageBuilder&& builder) const {
    table_->onRestinioError(builder());
  }

 private:
  std::shared_ptr<ConnectionTable> table_;
};

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t, ErrorLogger,
                                         restinio::details::autodetect_request_handler_type,
                                         restinio::noop_strand_t, ConnectionSocket> {
  // These names are required by RESTinio.
  using http_methods_mapper_t = RequestMethods;                                // NOLINT
  using connection_state_listener_t = StateListener;                           // NOLINT
  [[maybe_unused]] static constexpr bool use_connection_count_limiter = true;  // NOLINT
};

}  // namespace
}  // namespace cypresswall::http

template <>
struct restinio::connection_count_limit_types<cypresswall::http::ServerTraits> {
  // These names are required by RESTinio.
  using limiter_t = cypresswall::http::AcceptLimiter;  // NOLINT
  using lifetime_monitor_t =                           // NOLINT
      restinio::connection_count_limits::connection_lifetime_monitor_t<limiter_t>;
};

namespace cypresswall::http {
namespace {

/// Splits "IP:port". \throws ListenError
std::pair<asio::ip::address, std::uint16_t> parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const char* begin = colon == std::string::npos ? end : address.data() + colon + 1;
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    throw ListenError("address '" + address + "' is not IP:port");
  }
  return {ip, port};
}

class RestinioServer final : public Server {
 public:
  RestinioServer(asio::io_context& context, ServerSettings settings, Handler handler)
      : context_(context),
        table_(std::make_shared<ConnectionTable>(context, std::move(settings), std::move(handler))),
        backlog_timer_(context),
        accept_timer_(context) {}
  ~RestinioServer() override { close(); }
  RestinioServer(const RestinioServer&) = delete;
  RestinioServer& operator=(const RestinioServer&) = delete;

  void start() override {
    const auto& address = table_->settings().address;
    const auto [ip, port] = parseAddress(address);
    limiter_.emplace();
    try {
      server_ = std::make_shared<restinio::http_server_t<ServerTraits>>(
          restinio::external_io_context(context_), restinioSettings(ip, port));
      table_->setServer(server_);
      server_->open_sync();
      table_->state()->listening = true;
      checkAcceptsLater();
    } catch (const std::system_error& error) {
      server_.reset();
      const auto text = "can't listen on " + address + ": " + error.what();
      if (error.code() == asio::error::address_in_use) {
        throw AddressInUse(text);
      }
      throw ListenError(text);
    } catch (const std::exception& error) {
      server_.reset();
      throw ListenError("can't listen on " + address + ": " + error.what());
    }
  }

  void stopListening() override {
    if (!std::exchange(table_->state()->stopping, true) && server_) {
      dropNewHandshakes(listening_socket_);
      closeListenerOnceBacklogIsEmpty();
    }
  }

  void close() override {
    table_->state()->stopping = true;
    backlog_timer_.cancel();
    accept_timer_.cancel();
    closeListener();
    table_->closeAll();
  }

  std::uint16_t port() const override { return port_; }
  std::size_t openRequests() const override { return table_->state()->open_requests; }
  bool isIdle() const override {
    return !table_->state()->listening && openRequests() == 0 && !table_->awaitsRequest();
  }

 private:
  /// Closes the listening socket once no connection waits to be accepted on it. Closing the socket
  /// earlier would reset the waiting connections and lose the requests that their callers have
  /// already sent.
  void closeListenerOnceBacklogIsEmpty() {
    if (!hasPendingConnections(listening_socket_)) {
      closeListener();
      return;
    }
    backlog_timer_.expires_after(kBacklogCheckPeriod);
    backlog_timer_.async_wait([this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
      if (!error && !alive.expired()) {
        closeListenerOnceBacklogIsEmpty();
      }
    });
  }

  void checkAcceptsLater() {
    accept_timer_.expires_after(kAcceptCheckPeriod);
    accept_timer_.async_wait([this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
      if (!error && !alive.expired() && listening_socket_ >= 0) {
        checkAcceptsLater();
        checkAccepts();
      }
    });
  }

  /// Begins accepts again if all have failed: callers wait in two checks in a row, and nobody was
  /// accepted between them. Reports these and the accepts that the limiter has begun again.
  void checkAccepts() {
    AcceptLimiter* const limiter = limiter_->get();
    const bool stalled =
        limiter != nullptr && limiter->isAccepting() && hasPendingConnections(listening_socket_);
    const bool still_stalled = stalled && stalled_after_ == limiter->endedAccepts();
    stalled_after_.reset();
    if (stalled) {
      stalled_after_ = limiter->endedAccepts();
    }
    if (still_stalled) {
      limiter->restartAccepts();
    }
    const std::size_t restarted = limiter != nullptr ? limiter->restartedAccepts() : 0;
    const bool restarted_anew = restarted > std::exchange(reported_restarts_, restarted);
    if (restarted_anew && table_->settings().on_accepts_restarted) {
      table_->settings().on_accepts_restarted();
    }
  }

  void closeListener() {
    if (server_) {
      server_->close_sync();
    }
    listening_socket_ = -1;
    // Accepted connections may be added to the table later in this iteration of the event loop.
    asio::post(context_, [state = table_->state()] { state->listening = false; });
  }

  restinio::server_settings_t<ServerTraits> restinioSettings(const asio::ip::address& ip,
                                                             std::uint16_t port) {
    const auto& settings = table_->settings();
    restinio::server_settings_t<ServerTraits> result(
        port, ip.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4());
    result.address(ip)
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kPipelinedRequests)
        .max_parallel_connections(settings.maximum_connections)
        .concurrent_accepts_count(kAcceptsPerIteration)
        .read_next_http_message_timelimit(settings.idle_time_limit)
        .handle_request_timeout(kHandlerTimeout)
        .write_http_response_timelimit(settings.write_time_limit)
        .incoming_http_msg_limits(messageLimits(settings))
        .logger(table_)
        .connection_state_listener(std::make_shared<StateListener>(table_))
        .request_handler([table = table_](const restinio::request_handle_t& request) {
          return table->handleRequest(request);
        })
        .socket_options_setter(
            [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port_ = acceptor.local_endpoint().port();
          listening_socket_ = acceptor.native_handle();
        });
    return result;
  }

  static restinio::incoming_http_msg_limits_t messageLimits(const ServerSettings& settings) {
    return restinio::incoming_http_msg_limits_t()
        .max_url_size(settings.maximum_header_bytes)
        .max_field_name_size(settings.maximum_header_bytes)
        .max_field_value_size(settings.maximum_header_bytes)
        .max_field_count(kMaximumHeaderFields)
        .max_body_size(settings.maximum_body_bytes);
  }

  asio::io_context& context_;
  std::shared_ptr<ConnectionTable> table_;
  std::optional<AcceptLimiter::Reference> limiter_;
  std::shared_ptr<restinio::http_server_t<ServerTraits>> server_;
  int listening_socket_ = -1;
  asio::steady_timer backlog_timer_;
  asio::steady_timer accept_timer_;
  /// Number of accepts that had ended at the last check, if callers waited then.
  std::optional<std::size_t> stalled_after_;
  /// Number of accepts that had been begun again at the last check.
  std::size_t reported_restarts_ = 0;
  /// Queued handlers hold weak pointers to this flag, which expire when this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint16_t port_ = 0;
};

}  // namespace

std::unique_ptr<Server> makeServer(asio::io_context& context, ServerSettings settings,
                                   Handler handler) {
  return std::make_unique<RestinioServer>(context, std::move(settings), std::move(handler));
}

}  // namespace cypresswall::http
