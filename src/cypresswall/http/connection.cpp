#include "cypresswall/http/connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <cctype>
#include <string_view>

namespace cypresswall::http {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// \return true if the bytes are a complete header with "Expect: 100-continue".
bool expectsContinue(std::string_view bytes) {
  constexpr std::string_view kExpectation = "\r\nexpect: 100-continue\r\n";
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == static_cast<unsigned char>(b);
  };
  return bytes.ends_with("\r\n\r\n") &&
         std::search(bytes.begin(), bytes.end(), kExpectation.begin(), kExpectation.end(), same) !=
             bytes.end();
}

}  // namespace

void Connection::join(const std::shared_ptr<ServerState>& server,
                      std::function<void()> on_reclaimed) {
  server_state_ = server;
  last_active_ = std::chrono::steady_clock::now();
  memory_.emplace(server->memory, std::move(on_reclaimed));
  incoming_.emplace(*server, *memory_);
}

void Connection::onSocketClosed() {
  socket_ = nullptr;
  if (incoming_) {
    incoming_->release();
  }
}

void Connection::removeExchange(const Exchange* exchange) {
  std::erase_if(exchanges_, [&](const auto& held) { return held.get() == exchange; });
  last_active_ = std::chrono::steady_clock::now();
}

void Connection::onRead(const asio::error_code& error, std::string_view bytes) {
  last_active_ = std::chrono::steady_clock::now();
  memory_->noteProgress(last_active_);
  if (!error && !receiving_since_) {
    receiving_since_ = last_active_;
    if (!hasExchanges() && expectsContinue(bytes)) {
      sendNow(kContinue);
    }
  }
  if (error == asio::error::eof && receiving_since_ && on_truncated_) {
    on_truncated_();
  }
}

void Connection::onWritten(std::size_t bytes) {
  if (bytes > 0) {
    memory_->noteProgress(std::chrono::steady_clock::now());
  }
}

bool Connection::hasUnreadInput() const {
  asio::error_code ignored;
  return socket_ != nullptr && socket_->available(ignored) > 0;
}

bool Connection::awaitsRequest() const {
  return socket_ != nullptr && (!request_received_ || receiving_since_ || hasUnreadInput());
}

void Connection::sendLastAnswer(const std::string& answer) {
  if (socket_ == nullptr || hasExchanges()) {
    return;
  }
  asio::error_code ignored;
  socket_->write_some(asio::buffer(answer), ignored);
  socket_->lingerOnClose();
}

std::optional<std::size_t> Connection::sendNow(std::string_view bytes) {
  if (socket_ == nullptr) {
    return std::nullopt;
  }
  asio::error_code error;
  const std::size_t taken = socket_->write_some(asio::buffer(bytes), error);
  if (error && error != asio::error::would_block) {
    return std::nullopt;
  }
  return taken;
}

void Connection::stopSending() {
  if (socket_ != nullptr) {
    asio::error_code ignored;
    socket_->Base::shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

void Connection::shutdown() {
  if (socket_ != nullptr) {
    asio::error_code ignored;
    socket_->Base::shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
}

void Connection::end() {
  ended_ = true;
  incoming_->discard();
  memory_->close();
  if (socket_ != nullptr) {
    asio::error_code ignored;
    socket_->Base::cancel(ignored);
  }
  if (hasExchanges()) {
    shutdown();
  }
}

void ConnectionSocket::attach(std::shared_ptr<Connection> connection) {
  connection_ = std::move(connection);
  asio::error_code ignored;
  non_blocking(true, ignored);
}

ConnectionSocket::~ConnectionSocket() {
  if (connection_) {
    connection_->onSocketClosed();
  }
}

void ConnectionSocket::shutdown(shutdown_type what, asio::error_code& error) {
  if (!linger_on_close_) {
    Base::shutdown(what, error);
  }
}

void ConnectionSocket::close() {
  if (connection_) {
    connection_->onSocketClosed();
  }
  if (std::exchange(linger_on_close_, false) && is_open()) {
    connection_->lingering().close(Base(std::move(static_cast<Base&>(*this))));
    return;
  }
  Base::close();
}

std::shared_ptr<Connection>& lastPreparedConnection() {
  thread_local std::shared_ptr<Connection> connection;
  return connection;
}

}  // namespace cypresswall::http
