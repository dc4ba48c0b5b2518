/// Past load reports of an emulated engine, so that it can report with a lag.
#pragma once

#include <deque>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Keeps at most one report for each slot of kReportInterval, the last made in it.
class LoadHistory {
 public:
  static constexpr common::Duration kReportInterval = std::chrono::milliseconds(20);

  /// \return true if a report made at `now` would be the first of its slot.
  bool startsInterval(common::MonotonicTime now) const;
  void record(common::MonotonicTime now, engines::EngineLoad load);
  /// \return the newest report made at or before `time`, else the oldest kept; null if none.
  const engines::EngineLoad* at(common::MonotonicTime time) const;
  /// Drops reports that no later call of at() with `time` or more can give.
  void dropBefore(common::MonotonicTime time);
  void clear() { entries_.clear(); }

 private:
  struct Entry {
    common::MonotonicTime made_at;
    engines::EngineLoad load;
  };
  std::deque<Entry> entries_;
};

}  // namespace cypresswall::emulation
