/// Readiness of many sockets through one level-triggered epoll set, which is itself a single
/// descriptor in Asio's event loop. Waiting for each socket with Asio would cost a system call and
/// an operation object per event.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "cypresswall/common/errors.h"

namespace cypresswall::runtime {

/// Thrown if the operating system can't create an epoll set.
class SocketPollError : public common::Error {
 public:
  using common::Error::Error;
};

/// Operations for which a socket is ready.
struct SocketReadiness {
  bool readable = false;
  bool writable = false;
};

/// Does not own the sockets. Keeps the event loop running only while at least one socket is
/// watched.
class SocketPoll : public std::enable_shared_from_this<SocketPoll> {
 public:
  using Listener = std::function<void(int socket, SocketReadiness readiness)>;

  /// \throws SocketPollError
  SocketPoll(asio::io_context& context, Listener listener);

  /// Watches a socket, or changes the awaited operations. An error or hang-up of the socket counts
  /// as readiness for all awaited operations. The listener is called repeatedly while the socket is
  /// ready.
  /// \return false if the operating system can't watch the socket
  bool watch(int socket, SocketReadiness awaited);
  /// Stops watching a socket, which must still be open; a socket that is not watched is ignored.
  void forget(int socket);
  /// Stops all calls to the listener.
  void stop();

 private:
  void waitIfNeeded();
  void poll();
  bool isWatched(int socket) const;
  void setWatched(int socket, bool watched);

  asio::posix::stream_descriptor set_;
  Listener listener_;
  /// Whether each socket is watched, indexed by its descriptor. A vector, since it is read for
  /// every event and the operating system assigns small descriptors.
  std::vector<bool> watched_;
  std::size_t watched_count_ = 0;
  bool waiting_ = false;
  bool stopped_ = false;
};

}  // namespace cypresswall::runtime
