/// Limit of a server's open connections, in place of RESTinio's. RESTinio forgets an accept that
/// fails, as accepts do while the process is out of descriptors, and still counts it: the server
/// then accepts fewer callers at a time, and nobody once all of them have failed. It also counts a
/// caller that has reset its connection before it was accepted as a connection for good.
#pragma once

#include <cstddef>
#include <cstdint>
#include <restinio/http_server.hpp>
#include <utility>
#include <vector>

namespace cypresswall::http {

/// Implements the limiter that RESTinio's acceptor requires; the names of some member functions are
/// RESTinio's. For a server with one thread.
class AcceptLimiter {
 public:
  using Acceptor = restinio::connection_count_limits::impl::acceptor_callback_iface_t;

  /// Refers to the limiter that is constructed while this object is the last one that was
  /// constructed; null before and after its life. RESTinio constructs the limiter itself and passes
  /// only its own arguments.
  class Reference {
   public:
    Reference() { expected() = this; }
    ~Reference() {
      if (limiter_ != nullptr) {
        limiter_->reference_ = nullptr;
      }
      if (expected() == this) {
        expected() = nullptr;
      }
    }
    Reference(const Reference&) = delete;
    Reference& operator=(const Reference&) = delete;

    AcceptLimiter* get() const { return limiter_; }

   private:
    friend class AcceptLimiter;
    AcceptLimiter* limiter_ = nullptr;
  };

  AcceptLimiter(restinio::not_null_pointer_t<Acceptor> acceptor,
                restinio::connection_count_limits::max_parallel_connections_t maximum_connections,
                restinio::connection_count_limits::max_active_accepts_t maximum_accepts)
      : acceptor_(acceptor),
        reference_(std::exchange(expected(), nullptr)),
        maximum_connections_(maximum_connections.value()),
        begun_(maximum_accepts.value(), 0) {
    waiting_.reserve(maximum_accepts.value());
    if (reference_ != nullptr) {
      reference_->limiter_ = this;
    }
  }
  ~AcceptLimiter() {
    if (reference_ != nullptr) {
      reference_->limiter_ = nullptr;
    }
  }
  AcceptLimiter(const AcceptLimiter&) = delete;
  AcceptLimiter& operator=(const AcceptLimiter&) = delete;

  void increment_parallel_connections() noexcept {  // NOLINT
    ++connections_;
  }

  void decrement_parallel_connections() noexcept {  // NOLINT
    --connections_;
    if (hasRoom() && !waiting_.empty()) {
      const std::size_t accept = waiting_.back();
      waiting_.pop_back();
      acceptor_->schedule_next_accept_attempt(accept);
    }
  }

  /// \param accept number of an accept that has ended, or has not begun yet
  void accept_next(std::size_t accept) noexcept {  // NOLINT
    if (begun_[accept] != 0) {
      ++ended_accepts_;
      // Accepts end nearly in the order in which they have begun. One that has not ended although
      // as many begun after it have as there are accepts has failed. One that is under way must
      // not be begun again: each of the two would accept a caller, and the limiter counts one.
      restartAcceptsBegunBefore(begun_[accept] -
                                std::min<std::uint64_t>(begun_[accept], begun_.size()));
    }
    end(accept);
    if (hasRoom()) {
      begun_[accept] = next_begin_++;
      ++active_accepts_;
      acceptor_->call_accept_now(accept);
    } else {
      waiting_.push_back(accept);
    }
  }

  /// \return number of accepts that have ended with a caller, whether it is still there or not
  std::size_t endedAccepts() const { return ended_accepts_; }
  /// \return number of times that an accept was begun again since it had failed
  std::size_t restartedAccepts() const { return restarted_accepts_; }
  bool hasRoom() const { return connections_ + active_accepts_ < maximum_connections_; }
  /// \return true if accepts are under way, as far as RESTinio has told
  bool isAccepting() const { return active_accepts_ != 0; }

  /// Begins the accepts that count as under way again.
  /// \pre they have failed: a caller waits to be accepted, and is not
  void restartAccepts() { restartAcceptsBegunBefore(next_begin_); }

 private:
  static Reference*& expected() {
    thread_local Reference* reference = nullptr;
    return reference;
  }

  void restartAcceptsBegunBefore(std::uint64_t begin) {
    for (std::size_t accept = 0; accept < begun_.size(); ++accept) {
      if (begun_[accept] != 0 && begun_[accept] < begin) {
        end(accept);
        ++restarted_accepts_;
        acceptor_->schedule_next_accept_attempt(accept);
      }
    }
  }

  void end(std::size_t accept) {
    if (begun_[accept] != 0) {
      begun_[accept] = 0;
      --active_accepts_;
    }
  }

  Acceptor* acceptor_;
  Reference* reference_;
  std::size_t maximum_connections_;
  std::size_t connections_ = 0;
  std::size_t ended_accepts_ = 0;
  std::size_t active_accepts_ = 0;
  std::size_t restarted_accepts_ = 0;
  std::uint64_t next_begin_ = 1;
  /// Position of each accept, by its number, in the order in which they have begun; zero for those
  /// that are not under way.
  std::vector<std::uint64_t> begun_;
  /// Numbers of the accepts that wait for room.
  std::vector<std::size_t> waiting_;
};

}  // namespace cypresswall::http
