/// Past load reports of an emulated engine, from which it reports its load with a lag.
#pragma once

#include <deque>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Keeps at most one report per kReportInterval, the last one made in it.
class LoadHistory {
 public:
  static constexpr common::Duration kReportInterval = std::chrono::milliseconds(20);

  /// \return true if a report made at `now` would be the first of its interval.
  bool startsInterval(common::MonotonicTime now) const;
  void record(common::MonotonicTime now, engines::EngineLoad load);
  /// \return the newest report made at or before `time`, or else the oldest one; null if there is
  ///   none.
  const engines::EngineLoad* at(common::MonotonicTime time) const;
  /// Drops reports that at() can't return for `time` or any later time.
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
