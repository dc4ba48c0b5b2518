/// A raw TCP client that runs on the same event loop as the server under test.
#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cypresswall::http {

/// Runs the event loop until `condition` holds. \return false if it does not hold within 20 s.
inline bool runUntil(asio::io_context& context, const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kLimit(20);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return true;
}

class RawClient {
 public:
  RawClient(asio::io_context& context, std::uint16_t port) : context_(context), socket_(context) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  /// Sends asynchronously, so that a large request doesn't block the server on the same loop.
  void send(std::string bytes) {
    auto held = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket_, asio::buffer(*held),
                      [held](const asio::error_code&, std::size_t) {});
  }

  void startReading() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const asio::error_code& error, std::size_t length) {
                              received.append(buffer_.data(), length);
                              if (error) {
                                closed = true;
                              } else {
                                startReading();
                              }
                            });
  }

  bool waitFor(const std::string& text) {
    return runUntil(context_, [&] { return received.find(text) != std::string::npos; });
  }
  bool waitClosed() {
    return runUntil(context_, [&] { return closed; });
  }
  void shutdownSend() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }
  void close() { socket_.close(); }
  void reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

  std::string received;
  bool closed = false;

 private:
  asio::io_context& context_;
  asio::ip::tcp::socket socket_;
  std::array<char, 65536> buffer_{};
};

}  // namespace cypresswall::http
