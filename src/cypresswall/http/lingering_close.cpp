#include "cypresswall/http/lingering_close.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace cypresswall::http {
namespace {

/// Limits of the time and of the discarded input.
constexpr std::chrono::seconds kLingerTime(2);
constexpr std::size_t kLingerBytes = 64U << 20;
constexpr std::size_t kLingerBufferBytes = 4096;

}  // namespace

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

  void finish() {
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
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

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kLingerBufferBytes> buffer_{};
  std::size_t discarded_bytes_ = 0;
};

void LingeringConnections::close(asio::ip::tcp::socket socket) {
  std::erase_if(open_, [](const auto& connection) { return connection.expired(); });
  while (!open_.empty() && open_.size() >= maximum_) {
    if (const auto oldest = open_.front().lock()) {
      oldest->finish();
    }
    open_.pop_front();
  }
  const auto connection = std::make_shared<LingeringClose>(std::move(socket));
  open_.push_back(connection);
  connection->start();
}

}  // namespace cypresswall::http
