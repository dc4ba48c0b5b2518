#include "cypresswall/runtime/outgoing_peer.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace cypresswall::runtime {
namespace {

/// Maximum number of bytes combined into one write.
constexpr std::size_t kMaximumWriteBytes = 256U << 10;

int milliseconds(common::Duration duration) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void configureSocket(asio::ip::tcp::socket& socket, const TransportSettings& settings) {
  std::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int limit = milliseconds(settings.unacknowledged_time_limit);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

}  // namespace

OutgoingPeer::OutgoingPeer(asio::io_context& context, asio::ip::tcp::endpoint endpoint,
                           const TransportSettings& settings, TransportCounters& counters,
                           common::RandomSource& random, common::LogSink& log)
    : context_(context),
      endpoint_(std::move(endpoint)),
      settings_(settings),
      counters_(counters),
      random_(random),
      log_(log),
      socket_(context),
      timer_(context),
      idle_timer_(context),
      connect_limit_(settings.first_connect_limit) {}

void OutgoingPeer::send(std::string frame) {
  if (state_ == State::kClosed) {
    return;
  }
  queued_bytes_ += frame.size();
  queue_.push_back({std::move(frame), SteadyClock::now()});
  dropOverflow();
  if (state_ == State::kDisconnected) {
    connect();
  } else if (state_ == State::kConnected && writing_.empty()) {
    writeQueue();
  }
}

void OutgoingPeer::close() {
  disconnect();
  state_ = State::kClosed;
  timer_.cancel();
  queue_.clear();
  queued_bytes_ = 0;
}

void OutgoingPeer::connect() {
  state_ = State::kConnecting;
  const auto connection = ++connection_;
  socket_ = asio::ip::tcp::socket(context_);
  socket_.async_connect(endpoint_,
                        [self = shared_from_this(), connection](const std::error_code& error) {
                          if (connection == self->connection_) {
                            self->finishConnect(error);
                          }
                        });
  timer_.expires_after(connect_limit_);
  timer_.async_wait([self = shared_from_this(), connection](const std::error_code& error) {
    if (!error && connection == self->connection_ && self->state_ == State::kConnecting) {
      self->finishConnect(asio::error::timed_out);
    }
  });
}

void OutgoingPeer::finishConnect(const std::error_code& error) {
  timer_.cancel();
  connect_limit_ = error == asio::error::timed_out
                       ? std::min(connect_limit_ * 2, settings_.connect_time_limit)
                       : settings_.first_connect_limit;
  if (error) {
    counters_.failed_connects.add();
    common::LogEvent(log_, common::LogLevel::kDebug, "peer_connect_failed")
        .field("peer", endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port()))
        .field("error", error.message());
    disconnect();
    backOff();
    return;
  }
  counters_.connects.add();
  backoff_ = common::Duration{0};
  state_ = State::kConnected;
  configureSocket(socket_, settings_);
  awaitDisconnect();
  dropExpired();
  writeQueue();
}

void OutgoingPeer::backOff() {
  state_ = State::kBackoff;
  timer_.expires_after(nextBackoff());
  timer_.async_wait([self = shared_from_this()](const std::error_code& error) {
    if (error || self->state_ != State::kBackoff) {
      return;
    }
    self->state_ = State::kDisconnected;
    self->dropExpired();
    if (!self->queue_.empty()) {
      self->connect();
    }
  });
}

common::Duration OutgoingPeer::nextBackoff() {
  backoff_ = std::clamp(backoff_ * 2, settings_.minimum_backoff, settings_.maximum_backoff);
  // A random delay between half of the back-off and all of it, so that the peers of a restarted
  // node don't reconnect simultaneously.
  const common::Duration half = backoff_ / 2;
  return half + common::fromSeconds(random_.unit() * common::toSeconds(half));
}

void OutgoingPeer::writeQueue() {
  armIdleTimer();
  while (!queue_.empty() && writing_.size() < kMaximumWriteBytes) {
    writing_ += queue_.front().bytes;
    queued_bytes_ -= queue_.front().bytes.size();
    queue_.pop_front();
    ++writing_messages_;
  }
  if (writing_.empty()) {
    return;
  }
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this(), connection = connection_](
                        const std::error_code& error, std::size_t) {
                      if (connection == self->connection_) {
                        self->finishWrite(error);
                      }
                    });
}

void OutgoingPeer::finishWrite(const std::error_code& error) {
  if (error) {
    disconnect();
    if (!queue_.empty()) {
      connect();
    }
    return;
  }
  counters_.sent_messages.add(writing_messages_);
  counters_.sent_bytes.add(writing_.size());
  writing_.clear();
  writing_messages_ = 0;
  if (!queue_.empty()) {
    writeQueue();
  }
}

void OutgoingPeer::awaitDisconnect() {
  // The peer never sends on this connection, so a read completes only when the connection has
  // ended.
  socket_.async_read_some(
      asio::buffer(&end_probe_, 1),
      [self = shared_from_this(), connection = connection_](const std::error_code&, std::size_t) {
        if (connection == self->connection_ && self->state_ == State::kConnected) {
          self->finishWrite(asio::error::eof);
        }
      });
}

void OutgoingPeer::disconnect() {
  ++connection_;
  std::error_code ignored;
  socket_.close(ignored);
  idle_timer_.cancel();
  counters_.dropped_connection_lost.add(writing_messages_);
  writing_messages_ = 0;
  // A cancelled write may still reference the old buffer; its handler runs before the buffer is
  // reused.
  writing_.clear();
  state_ = State::kDisconnected;
}

void OutgoingPeer::armIdleTimer() {
  idle_timer_.expires_after(settings_.idle_time_limit);
  idle_timer_.async_wait([self = shared_from_this()](const std::error_code& error) {
    if (!error && self->state_ == State::kConnected && self->writing_.empty()) {
      self->disconnect();
    }
  });
}

bool OutgoingPeer::popFront(common::Counter& reason) {
  if (queue_.empty()) {
    return false;
  }
  queued_bytes_ -= queue_.front().bytes.size();
  queue_.pop_front();
  reason.add();
  return true;
}

void OutgoingPeer::dropOverflow() {
  while (queue_.size() > settings_.maximum_queued_messages ||
         queued_bytes_ > settings_.maximum_queued_bytes) {
    popFront(counters_.dropped_queue_full);
  }
}

void OutgoingPeer::dropExpired() {
  const auto oldest = SteadyClock::now() - settings_.queue_time_limit;
  while (!queue_.empty() && queue_.front().queued_at < oldest) {
    popFront(counters_.dropped_queue_time);
  }
}

}  // namespace cypresswall::runtime
