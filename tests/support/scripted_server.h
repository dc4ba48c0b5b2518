/// A TCP server for client tests that reads one HTTP request at a time per connection and answers
/// with raw bytes scripted by the test, so that it can also give truncated and malformed answers.
#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cypresswall::testing {

/// Reaction of the server to one request.
struct ScriptedAnswer {
  /// Raw bytes, status line included.
  std::string bytes;
  /// Closes the connection after the bytes.
  bool close = false;
};

/// \return a complete HTTP answer with Content-Length.
inline std::string httpAnswer(int status, const std::string& body,
                              const std::string& extra_headers = "") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Scripted\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra_headers +
         "\r\n" + body;
}

class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Queues the answer to the next request; without a queued answer the server does not reply.
  void answer(std::string bytes, bool close = false) {
    answers_.push_back({std::move(bytes), close});
  }
  /// Queues the answer to the next request before all others.
  void answerFirst(std::string bytes) { answers_.push_front({std::move(bytes), false}); }
  void discardAnswers() { answers_.clear(); }
  /// Requests received, each with its head and body.
  const std::vector<std::string>& requests() const { return requests_; }
  int connections() const { return connections_; }
  /// Number of connections closed by the client.
  int closedByClient() const { return closed_by_client_; }
  /// Sends more bytes on the newest connection.
  void sendMore(const std::string& bytes) { asio::write(newest_->socket, asio::buffer(bytes)); }
  void closeNewest() { newest_->socket.close(); }
  /// Ends the newest connection in order, and resets it.
  void endAndResetNewest() {
    newest_->socket.shutdown(asio::socket_base::shutdown_send);
    newest_->socket.set_option(asio::socket_base::linger(true, 0));
    newest_->socket.close();
  }
  /// From now on the kernel drops what arrives on the newest connection, unacknowledged.
  void silenceNewest() {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    setsockopt(newest_->socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof program);
  }
  /// Resets connections that the server closes from now on, or no longer does.
  void resetOnClose(bool reset = true) { reset_on_close_ = reset; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket taken) : socket(std::move(taken)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
  };

  void accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++connections_;
      socket.set_option(asio::ip::tcp::no_delay(true));
      newest_ = std::make_shared<Connection>(std::move(socket));
      read(newest_);
      accept();
    });
  }

  void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const std::error_code& error, std::size_t size) {
          if (error) {
            closed_by_client_ += error == asio::error::operation_aborted ? 0 : 1;
            return;
          }
          connection->received.append(connection->buffer.data(), size);
          takeRequests(*connection);
          if (connection->socket.is_open()) {
            read(connection);
          }
        });
  }

  static std::size_t bodyLength(const std::string& head) {
    const std::string name = "Content-Length: ";
    const auto at = head.find(name);
    return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
  }

  void takeRequests(Connection& connection) {
    for (;;) {
      const auto end = connection.received.find("\r\n\r\n");
      if (end == std::string::npos) {
        return;
      }
      const auto size = end + 4 + bodyLength(connection.received.substr(0, end + 2));
      if (connection.received.size() < size) {
        return;
      }
      requests_.push_back(connection.received.substr(0, size));
      connection.received.erase(0, size);
      sendAnswer(connection);
    }
  }

  void sendAnswer(Connection& connection) {
    if (answers_.empty()) {
      return;
    }
    const ScriptedAnswer answer = answers_.front();
    answers_.pop_front();
    asio::write(connection.socket, asio::buffer(answer.bytes));
    if (answer.close) {
      if (reset_on_close_) {
        connection.socket.set_option(asio::socket_base::linger(true, 0));
      }
      connection.socket.close();
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Connection> newest_;
  std::deque<ScriptedAnswer> answers_;
  std::vector<std::string> requests_;
  bool reset_on_close_ = false;
  int connections_ = 0;
  int closed_by_client_ = 0;
};

}  // namespace cypresswall::testing
