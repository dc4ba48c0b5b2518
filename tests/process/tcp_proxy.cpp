#include "tests/process/tcp_proxy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cypresswall::testing {
namespace {

using asio::ip::tcp;
using emulation::ResponseDamager;

/// A response without end is cut off here if the caller reads on.
constexpr std::size_t kEndlessBytes = 64U << 20;
constexpr std::size_t kFillersInAWrite = 16;
/// Delay of a response that is sent again, at most.
constexpr std::uint64_t kLateMilliseconds = 50;

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

std::string proxyAddressFor(const std::string& target) {
  const auto colon = target.rfind(':');
  const auto dot = target.rfind('.');
  constexpr int kProxyHosts = 20;
  const int host = std::stoi(target.substr(dot + 1, colon - dot - 1)) + kProxyHosts;
  return target.substr(0, dot + 1) + std::to_string(host) + target.substr(colon);
}

/// One proxied connection.
class TcpProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(TcpProxy& proxy, tcp::socket caller)
      : proxy_(proxy),
        to_target_(std::move(caller), proxy),
        to_caller_(proxy),
        damager_(proxy.damage_, proxy.random_),
        late_timer_(proxy.context_) {}

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

  /// Bytes behind a response.
  struct Surplus {
    std::string bytes;
    bool then_close = false;
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
          if (error) {
            return;
          }
          if (request) {
            self->damager_.takeRequest();
            self->sendSurplus(std::exchange(self->with_next_request_, {}));
            self->write(direction, to, bytes);
          } else {
            self->writeResponse(bytes);
          }
        });
  }
  void write(Direction& direction, tcp::socket& to, std::size_t bytes) {
    auto self = shared_from_this();
    asio::async_write(to, asio::buffer(direction.buffer.data(), bytes),
                      [self, &direction, &to](const asio::error_code& error, std::size_t) {
                        if (error) {
                          self->close();
                        } else {
                          self->pump(direction, to, true);
                        }
                      });
  }
  void writeResponse(std::size_t bytes) {
    const bool first = !damager_.responseBegan();
    ResponseDamager::Output output = damager_.takeResponse({to_caller_.buffer.data(), bytes});
    responses_ += first ? 1 : 0;
    proxy_.damaged_responses_ += first && damager_.damaged() ? 1 : 0;
    auto sent = std::move(output.bytes);
    sendToCaller(std::move(sent), [this, output = std::move(output)] { finishWrite(output); });
  }
  /// Calls `next` once all is written. The link lives until then.
  void sendToCaller(std::string bytes, std::function<void()> next) {
    writing_to_caller_ = true;
    auto held = std::make_shared<std::string>(std::move(bytes));
    auto self = shared_from_this();
    asio::async_write(
        to_target_.from, asio::buffer(*held),
        [self, held, next = std::move(next)](const asio::error_code& error, std::size_t) {
          self->writing_to_caller_ = false;
          if (error) {
            self->close();
          } else {
            next();
          }
        });
  }
  void finishWrite(const ResponseDamager::Output& output) {
    using Then = ResponseDamager::Then;
    switch (output.then) {
      case Then::kClose:
        close();
        return;
      case Then::kReset:
        end();
        return;
      case Then::kRepeatFiller: {
        std::string block;
        for (std::size_t i = 0; i < kFillersInAWrite; ++i) {
          block += output.filler;
        }
        sendWithoutEnd(block, 0);
        return;
      }
      case Then::kSendFillerLate:
        sendLate({output.filler, output.then_close});
        break;
      case Then::kSendFillerWithNextRequest:
        with_next_request_ = {output.filler, output.then_close};
        break;
      case Then::kGoOn:
        break;
    }
    pump(to_caller_, to_target_.from, false);
  }
  void sendWithoutEnd(const std::string& block, std::size_t sent) {
    if (sent > kEndlessBytes) {
      end();
      return;
    }
    sendToCaller(block, [this, block, sent] { sendWithoutEnd(block, sent + block.size()); });
  }
  void sendLate(Surplus surplus) {
    late_timer_.expires_after(std::chrono::milliseconds(proxy_.random_.below(kLateMilliseconds)));
    auto self = shared_from_this();
    late_timer_.async_wait(
        [self, surplus = std::move(surplus), response = responses_](const asio::error_code& error) {
          if (!error && !self->writing_to_caller_ && self->responses_ == response) {
            self->sendSurplus(surplus);
          }
        });
  }
  void sendSurplus(const Surplus& surplus) {
    if (!surplus.bytes.empty()) {
      sendToCaller(surplus.bytes, [this, then_close = surplus.then_close] {
        if (then_close) {
          close();
        }
      });
    }
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
  ResponseDamager damager_;
  asio::steady_timer late_timer_;
  Surplus with_next_request_;
  bool writing_to_caller_ = false;
  std::uint64_t responses_ = 0;
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

void TcpProxy::damageResponses(const emulation::ResponseDamage& damage, std::uint64_t seed) {
  asio::post(context_, [this, damage, seed] {
    damage_ = damage;
    random_ = common::SeededRandom(seed);
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
