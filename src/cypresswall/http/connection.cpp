#include "cypresswall/http/connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <string_view>

namespace cypresswall::http {
namespace {

/// Limits of the time and of the discarded input for draining a connection after its last answer.
/// Closing a socket with unread input would reset the connection before the caller has read the
/// answer.
constexpr std::chrono::seconds kLingerTime(2);
constexpr std::size_t kLingerBytes = 64U << 20;
constexpr std::size_t kLingerBufferBytes = 4096;

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

/// Reads and discards input until the caller closes the connection or a limit is reached.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  explicit LingeringClose(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void start() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLingerTime);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) {
        self->finish();
      }
    });
    readNext();
  }

 private:
  void readNext() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t length) {
          self->discarded_bytes_ += length;
          if (error || self->discarded_bytes_ > kLingerBytes) {
            self->finish();
          } else {
            self->readNext();
          }
        });
  }

  void finish() {
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kLingerBufferBytes> buffer_{};
  std::size_t discarded_bytes_ = 0;
};

}  // namespace

void Connection::removeExchange(const Exchange* exchange) {
  std::erase_if(exchanges_, [&](const auto& held) { return held.get() == exchange; });
}

void Connection::onRead(const asio::error_code& error, std::string_view bytes) {
  if (!error && !receiving_since_) {
    receiving_since_ = std::chrono::steady_clock::now();
    if (!hasExchanges() && expectsContinue(bytes)) {
      sendNow(kContinue);
    }
  }
  if (error == asio::error::eof && receiving_since_ && on_truncated_) {
    on_truncated_();
  }
}

bool Connection::awaitsRequest() const {
  if (socket_ == nullptr) {
    return false;
  }
  asio::error_code ignored;
  return !request_received_ || receiving_since_ || socket_->available(ignored) > 0;
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
    std::make_shared<LingeringClose>(Base(std::move(static_cast<Base&>(*this))))->start();
    return;
  }
  Base::close();
}

std::shared_ptr<Connection>& lastPreparedConnection() {
  thread_local std::shared_ptr<Connection> connection;
  return connection;
}

}  // namespace cypresswall::http
