/// True time of a simulated run, and the queue of its events. Events at the same time run in the
/// order in which they were scheduled, so that a run can be replayed.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/simulation/callback_table.h"

namespace cypresswall::simulation {

/// Clock and Scheduler of everything that is not part of a simulated process: engines, stores, the
/// network, fault schedules.
class VirtualTime final : public common::Clock, public common::Scheduler {
 public:
  common::MonotonicTime now() const override { return now_; }
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override;
  void cancel(common::TimerId timer) override;

  /// Runs the next event. \return false if the queue is empty.
  bool step();
  /// Runs all events due at or before `until`, then sets the time to `until`.
  void runUntil(common::MonotonicTime until);
  void runFor(common::Duration duration) { runUntil(now_ + duration); }
  /// Runs events until `condition` holds, which is checked after each event, or until `limit` has
  /// elapsed.
  /// \return true if the condition held.
  bool runUntilTrue(const std::function<bool()>& condition, common::Duration limit);

  /// \return number of events run so far.
  std::uint64_t executedEvents() const { return executed_; }

 private:
  struct Entry {
    common::MonotonicTime when;
    std::uint64_t order = 0;
    CallbackTable::Handle handle = 0;
    bool operator>(const Entry& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  /// Drops cancelled entries from the front of the queue.
  void dropCancelled();

  common::MonotonicTime now_{};
  std::uint64_t next_order_ = 0;
  std::uint64_t executed_ = 0;
  CallbackTable callbacks_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
};

}  // namespace cypresswall::simulation
