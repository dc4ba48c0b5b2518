/// Bound on the memory that a process keeps for its callers, over all servers and connections:
/// requests that arrive, wait or run, and answers that callers have yet to take.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <memory>

namespace cypresswall::http {

class MemoryAccount;

/// Not thread-safe. If the bound is reached, room is made by ending the connection that holds the
/// most for the longest time without progress, so that a crowd that stays connected without
/// finishing does not keep others out. Requests that wait or run are never ended for others.
class CallerMemory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  /// A connection that holds no more than this counts as small.
  static constexpr std::size_t kSmallBytes = 64U << 10;

  /// \param limit in bytes. A quarter of it is kept for connections that hold little, which nearly
  ///   all callers do, so that a few large requests do not keep them out.
  explicit CallerMemory(std::size_t limit = kUnlimited) : limit_(limit) {}
  CallerMemory(const CallerMemory&) = delete;
  CallerMemory& operator=(const CallerMemory&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

 private:
  friend class MemoryAccount;

  std::size_t limitFor(std::size_t held) const;
  bool exceeds(std::size_t more, std::size_t limit) const;
  /// Ends connections until `more` bytes are within `limit`, but not that of `for_whom`.
  /// \return false if the connection of `for_whom` would be the next to end, or if ending all
  ///   others would not be enough
  bool makeRoom(std::size_t more, std::size_t limit, const MemoryAccount& for_whom, TimePoint now);
  std::size_t reclaimable() const;
  MemoryAccount* largestStalled(TimePoint now) const;
  static void end(MemoryAccount& account);

  std::size_t limit_;
  std::size_t used_ = 0;
  std::list<MemoryAccount*> accounts_;
};

/// What one connection keeps. The destructor returns all of it.
class MemoryAccount {
 public:
  using TimePoint = CallerMemory::TimePoint;

  /// \param end ends the connection and frees what has arrived on it of an unfinished request
  MemoryAccount(std::shared_ptr<CallerMemory> memory, std::function<void()> end);
  ~MemoryAccount();
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// Adds bytes of the request that arrives. The last progress counts as the present time.
  /// \return false if there is no room for them
  bool addArriving(std::size_t bytes);
  /// The request has arrived: what it takes is kept until releaseRunning().
  /// \return the number of bytes to release
  std::size_t completeArriving();
  void releaseRunning(std::size_t bytes);
  /// Adds bytes of an answer. They exist already, so room is made for them by ending others.
  void addUnsent(std::size_t bytes, TimePoint now);
  void releaseUnsent(std::size_t bytes);
  /// Records that the caller has sent or taken bytes.
  void noteProgress(TimePoint now) { progressed_at_ = now; }
  /// Returns what the connection holds of unfinished transfers; later changes have no effect.
  void close();

  /// \return the bytes that are free once the connection has ended
  std::size_t reclaimable() const { return arriving_ + unsent_; }

 private:
  friend class CallerMemory;

  std::shared_ptr<CallerMemory> memory_;
  std::function<void()> end_;
  std::list<MemoryAccount*>::iterator position_;
  std::size_t arriving_ = 0;
  std::size_t running_ = 0;
  std::size_t unsent_ = 0;
  TimePoint progressed_at_{};
  bool closed_ = false;
};

}  // namespace cypresswall::http
