#include "tests/soak/tcp_proxy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cypresswall::testing {
namespace {

using asio::ip::tcp;

tcp::endpoint endpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

void resetSocket(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

/// One proxied connection.
class TcpProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(TcpProxy& proxy, tcp::socket caller)
      : proxy_(proxy), to_target_(std::move(caller), proxy), to_caller_(proxy) {}

  void start() {
    auto self = shared_from_this();
    to_caller_.from.async_connect(proxy_.target_, [self](const asio::error_code& error) {
      if (error) {
        self->end();
        return;
      }
      self->pump(self->to_target_, self->to_caller_.from, true);
      self->pump(self->to_caller_, self->to_target_.from, false);
    });
  }
  void end() {
    resetSocket(to_target_.from);
    resetSocket(to_caller_.from);
    proxy_.removeLink(*this);
  }
  bool lostBytes() const { return lost_bytes_; }

 private:
  static constexpr std::size_t kBufferBytes = 16384;

  /// One direction.
  struct Direction {
    explicit Direction(TcpProxy& proxy) : from(proxy.context_), timer(proxy.context_) {}
    Direction(tcp::socket socket, TcpProxy& proxy)
        : from(std::move(socket)), timer(proxy.context_) {}

    tcp::socket from;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer{};
  };

  void pump(Direction& direction, tcp::socket& to, bool request) {
    auto self = shared_from_this();
    direction.from.async_read_some(
        asio::buffer(direction.buffer),
        [self, &direction, &to, request](const asio::error_code& error, std::size_t bytes) {
          if (error) {
            self->close();
          } else {
            self->forward(direction, to, request, bytes);
          }
        });
  }
  void forward(Direction& direction, tcp::socket& to, bool request, std::size_t bytes) {
    const ProxyFaults& faults = proxy_.faults_;
    if (request ? faults.drop_requests : faults.drop_answers) {
      lost_bytes_ = true;
      pump(direction, to, request);
      return;
    }
    direction.timer.expires_after(faults.delay);
    auto self = shared_from_this();
    direction.timer.async_wait(
        [self, &direction, &to, request, bytes](const asio::error_code& error) {
          if (!error) {
            self->write(direction, to, request, bytes);
          }
        });
  }
  void write(Direction& direction, tcp::socket& to, bool request, std::size_t bytes) {
    auto self = shared_from_this();
    asio::async_write(to, asio::buffer(direction.buffer.data(), bytes),
                      [self, &direction, &to, request](const asio::error_code& error, std::size_t) {
                        if (error) {
                          self->close();
                        } else {
                          self->pump(direction, to, request);
                        }
                      });
  }
  /// One peer closed its connection: closes the other too, after all bytes read were written.
  void close() {
    asio::error_code ignored;
    to_target_.from.close(ignored);
    to_caller_.from.close(ignored);
    proxy_.removeLink(*this);
  }

  TcpProxy& proxy_;
  Direction to_target_;
  Direction to_caller_;
  bool lost_bytes_ = false;
};

TcpProxy::TcpProxy(const std::string& address, const std::string& target)
    : address_(address), target_(endpointOf(target)), acceptor_(context_, endpointOf(address)) {
  accept();
  thread_ = std::thread([this] { context_.run(); });
}

TcpProxy::~TcpProxy() {
  context_.stop();
  thread_.join();
  links_.clear();
}

void TcpProxy::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket caller) {
    if (error) {
      return;
    }
    links_.push_back(std::make_shared<Link>(*this, std::move(caller)));
    links_.back()->start();
    accept();
  });
}

void TcpProxy::removeLink(const Link& link) {
  links_.remove_if([&link](const auto& known) { return known.get() == &link; });
}

void TcpProxy::setFaults(const ProxyFaults& faults) {
  asio::post(context_, [this, faults] {
    faults_ = faults;
    if (faults.drop_requests || faults.drop_answers) {
      return;
    }
    const auto links = links_;
    for (const auto& link : links) {
      if (link->lostBytes()) {
        link->end();
      }
    }
  });
}

void TcpProxy::resetConnections() {
  asio::post(context_, [this] {
    const auto links = links_;
    for (const auto& link : links) {
      link->end();
    }
  });
}

}  // namespace cypresswall::testing
