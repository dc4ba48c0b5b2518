#include "cypresswall/runtime/socket_poll.h"

#include <sys/epoll.h>

#include <array>
#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

#include "cypresswall/common/at_scope_end.h"

namespace cypresswall::runtime {
namespace {

/// Maximum number of events handled in one iteration of the event loop, so that other handlers are
/// not starved.
constexpr int kEventsPerTurn = 256;

int openSet() {
  const int set = ::epoll_create1(EPOLL_CLOEXEC);
  if (set < 0) {
    throw SocketPollError("epoll_create1 failed: " + std::generic_category().message(errno));
  }
  return set;
}

}  // namespace

SocketPoll::SocketPoll(asio::io_context& context, Listener listener)
    : set_(context, openSet()), listener_(std::move(listener)) {}

bool SocketPoll::watch(int socket, SocketReadiness awaited) {
  epoll_event event{};
  event.events = (awaited.readable ? EPOLLIN : 0U) | (awaited.writable ? EPOLLOUT : 0U);
  event.data.fd = socket;
  const int change = isWatched(socket) ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  const bool accepted = ::epoll_ctl(set_.native_handle(), change, socket, &event) == 0;
  setWatched(socket, accepted);
  waitIfNeeded();
  return accepted;
}

void SocketPoll::forget(int socket) {
  if (!isWatched(socket)) {
    return;
  }
  setWatched(socket, false);
  epoll_event unused{};
  ::epoll_ctl(set_.native_handle(), EPOLL_CTL_DEL, socket, &unused);
  if (watched_count_ == 0 && waiting_) {
    set_.cancel();
  }
}

void SocketPoll::stop() { stopped_ = true; }

bool SocketPoll::isWatched(int socket) const {
  const auto index = static_cast<std::size_t>(socket);
  return index < watched_.size() && watched_[index];
}

void SocketPoll::setWatched(int socket, bool watched) {
  if (isWatched(socket) == watched) {
    return;
  }
  const auto index = static_cast<std::size_t>(socket);
  if (index >= watched_.size()) {
    watched_.resize(index + 1);
  }
  watched_[index] = watched;
  watched ? ++watched_count_ : --watched_count_;
}

void SocketPoll::waitIfNeeded() {
  if (waiting_ || stopped_ || watched_count_ == 0) {
    return;
  }
  waiting_ = true;
  set_.async_wait(asio::posix::stream_descriptor::wait_read,
                  [weak = weak_from_this()](const std::error_code&) {
                    if (const auto self = weak.lock()) {
                      self->waiting_ = false;
                      self->poll();
                    }
                  });
}

void SocketPoll::poll() {
  const common::AtScopeEnd again([this] { waitIfNeeded(); });
  std::array<epoll_event, kEventsPerTurn> events{};
  const int count = ::epoll_wait(set_.native_handle(), events.data(), kEventsPerTurn, 0);
  for (int at = 0; at < count && !stopped_; ++at) {
    const epoll_event& event = events[static_cast<std::size_t>(at)];
    // The listener may have called forget() for the socket of a later event.
    if (!isWatched(event.data.fd)) {
      continue;
    }
    const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    listener_(event.data.fd,
              {failed || (event.events & EPOLLIN) != 0, failed || (event.events & EPOLLOUT) != 0});
  }
}

}  // namespace cypresswall::runtime
