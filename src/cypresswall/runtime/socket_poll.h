/// Readiness of many sockets by one level-triggered epoll set, which is itself one descriptor in
/// Asio's loop. A wait for each socket by Asio would cost a system call and an operation object for
/// each event.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "cypresswall/common/errors.h"

namespace cypresswall::runtime {

/// The operating system gives no epoll set.
class SocketPollError : public common::Error {
 public:
  using common::Error::Error;
};

/// What a socket is ready for.
struct SocketReadiness {
  bool readable = false;
  bool writable = false;
};

/// Does not own the sockets. Keeps the event loop busy only while it watches one.
class SocketPoll : public std::enable_shared_from_this<SocketPoll> {
 public:
  using Listener = std::function<void(int socket, SocketReadiness readiness)>;

  /// \throws SocketPollError
  SocketPoll(asio::io_context& context, Listener listener);

  /// Watches a socket, or changes what is awaited. An error or hang-up of the socket counts as
  /// readiness for all that is awaited. The listener is called as long as the socket is ready.
  /// \return false if the operating system refuses to watch it
  bool watch(int socket, SocketReadiness awaited);
  /// Forgets a socket, which must not be closed yet; an unknown one is ignored.
  void forget(int socket);
  /// Calls the listener no more.
  void stop();

 private:
  void waitIfNeeded();
  void poll();
  bool isWatched(int socket) const;
  void setWatched(int socket, bool watched);

  asio::posix::stream_descriptor set_;
  Listener listener_;
  /// By socket number, which the operating system keeps small; looked up for each event.
  std::vector<bool> watched_;
  std::size_t watched_count_ = 0;
  bool waiting_ = false;
  bool stopped_ = false;
};

}  // namespace cypresswall::runtime
