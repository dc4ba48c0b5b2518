/// The true time of a simulated run and the queue of everything that is going to happen. Events of
/// the same moment run in the order in which they were scheduled, so a run can be replayed.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/simulation/callback_table.h"

namespace cypresswall::simulation {

/// As a Clock and Scheduler it serves whatever lives outside the simulated processes: engines,
/// stores, the network, fault schedules.
class VirtualTime final : public common::Clock, public common::Scheduler {
 public:
  common::MonotonicTime now() const override { return now_; }
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override;
  void cancel(common::TimerId timer) override;

  /// Runs the next event. \return false if none is left.
  bool step();
  /// Runs every event up to and including `until`, then sets the time to it.
  void runUntil(common::MonotonicTime until);
  void runFor(common::Duration duration) { runUntil(now_ + duration); }
  /// Runs until `condition` holds, asked after each event, or `limit` has passed.
  /// \return whether it held.
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
