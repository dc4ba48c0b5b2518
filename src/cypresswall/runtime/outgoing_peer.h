/// The connection on which this node sends to one peer.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "cypresswall/common/event_log.h"
#include "cypresswall/common/random.h"
#include "cypresswall/runtime/transport_settings.h"

namespace cypresswall::runtime {

/// Connects when there is something to send, and retries with back-off while messages are queued.
/// The queue is bounded. Owned by shared pointer, since pending handlers hold references to it.
class OutgoingPeer final : public std::enable_shared_from_this<OutgoingPeer> {
 public:
  OutgoingPeer(asio::io_context& context, asio::ip::tcp::endpoint endpoint,
               const TransportSettings& settings, TransportCounters& counters,
               common::RandomSource& random, common::LogSink& log);

  /// Queues one encoded frame. Never blocks.
  void send(std::string frame);
  /// Drops the queue and closes the connection permanently.
  void close();
  /// \return the number of messages queued or being written; zero while the connection is not
  ///   established.
  std::size_t sendableMessages() const {
    return state_ == State::kConnected ? queue_.size() + writing_messages_ : 0;
  }
  /// \return true if nothing is queued and no connection is open or being established.
  bool idle() const { return state_ == State::kDisconnected && queue_.empty(); }

 private:
  using SteadyClock = std::chrono::steady_clock;
  enum class State { kDisconnected, kConnecting, kConnected, kBackoff, kClosed };
  struct QueuedFrame {
    std::string bytes;
    SteadyClock::time_point queued_at;
  };

  void connect();
  void finishConnect(const std::error_code& error);
  void backOff();
  common::Duration nextBackoff();
  void writeQueue();
  void finishWrite(const std::error_code& error);
  void awaitDisconnect();
  void disconnect();
  void armIdleTimer();
  void dropOverflow();
  void dropExpired();
  bool popFront(common::Counter& reason);

  asio::io_context& context_;
  asio::ip::tcp::endpoint endpoint_;
  const TransportSettings& settings_;
  TransportCounters& counters_;
  common::RandomSource& random_;
  common::LogSink& log_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer idle_timer_;
  State state_ = State::kDisconnected;
  std::deque<QueuedFrame> queue_;
  std::size_t queued_bytes_ = 0;
  /// Frames being written to the socket, in one buffer.
  std::string writing_;
  std::size_t writing_messages_ = 0;
  char end_probe_ = 0;
  /// Number of the current connection. Handlers that were started for an earlier connection do
  /// nothing.
  std::uint64_t connection_ = 0;
  common::Duration backoff_{0};
  /// Time limit of the next attempt to connect.
  common::Duration connect_limit_;
};

}  // namespace cypresswall::runtime
