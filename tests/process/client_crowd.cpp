#include "tests/process/client_crowd.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

namespace cypresswall::testing {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr int kSmallReceiveBufferBytes = 4096;
constexpr std::size_t kReadBytes = 16384;
constexpr int kContinue = 100;

asio::ip::tcp::endpoint endpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

class ClientCrowd::Client : public std::enable_shared_from_this<Client> {
 public:
  explicit Client(ClientCrowd& crowd) : crowd_(crowd), socket_(crowd.context_) {}

  void connect(const asio::ip::tcp::endpoint& server) {
    socket_.open(server.protocol());
    if (!crowd_.script_.reads) {
      socket_.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBufferBytes));
    }
    socket_.async_connect(server, [self = shared_from_this()](const asio::error_code& error) {
      if (error) {
        self->settle();
        return;
      }
      if (self->crowd_.script_.reads) {
        self->read();
      }
      self->send(self->crowd_.script_.head, [self] { self->sendBlocks(0); });
    });
  }
  void close() {
    asio::error_code ignored;
    socket_.close(ignored);
  }
  /// \return the status of the first final answer; zero if there was none
  int status() const { return status_; }

 private:
  void send(const std::string& bytes, std::function<void()> then) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [self = shared_from_this(), then = std::move(then)](const asio::error_code& error, auto) {
          if (error) {
            self->settle();
          } else {
            then();
          }
        });
  }

  void sendBlocks(std::size_t sent) {
    if (sent < crowd_.script_.blocks) {
      send(crowd_.script_.block, [this, sent] { sendBlocks(sent + 1); });
    } else {
      send(crowd_.script_.end, [this] { settle(); });
    }
  }

  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const asio::error_code& error, auto size) {
                              if (error) {
                                self->settle();
                                return;
                              }
                              self->noteStatus({self->buffer_.data(), size});
                              self->read();
                            });
  }

  void noteStatus(const std::string& bytes) {
    constexpr std::size_t kStatusAt = 9;  // behind "HTTP/1.1 "
    constexpr std::size_t kStatusDigits = 3;
    if ((status_ == 0 || status_ == kContinue) && bytes.rfind("HTTP/1.1 ", 0) == 0 &&
        bytes.size() >= kStatusAt + kStatusDigits) {
      status_ = std::stoi(bytes.substr(kStatusAt, kStatusDigits));
    }
  }

  void settle() {
    if (!std::exchange(settled_, true)) {
      ++crowd_.settled_;
    }
  }

  ClientCrowd& crowd_;
  asio::ip::tcp::socket socket_;
  std::array<char, kReadBytes> buffer_{};
  std::atomic<int> status_{0};
  bool settled_ = false;
};

ClientCrowd::ClientCrowd(const std::string& address, std::size_t clients, ClientScript script)
    : script_(std::move(script)) {
  const auto server = endpointOf(address);
  for (std::size_t number = 0; number < clients; ++number) {
    clients_.push_back(std::make_shared<Client>(*this));
    clients_.back()->connect(server);
  }
  thread_ = std::thread([this] { context_.run(); });
}

ClientCrowd::~ClientCrowd() {
  asio::post(context_, [this] {
    for (const auto& client : clients_) {
      client->close();
    }
  });
  thread_.join();
}

bool ClientCrowd::waitUntilSettled(common::Duration limit,
                                   const std::function<void()>& poll) const {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (settled_ < clients_.size()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    poll();
    std::this_thread::sleep_for(kPollInterval);
  }
  poll();
  return true;
}

std::size_t ClientCrowd::answered(int status) const {
  std::size_t count = 0;
  for (const auto& client : clients_) {
    count += client->status() == status ? 1 : 0;
  }
  return count;
}

}  // namespace cypresswall::testing
