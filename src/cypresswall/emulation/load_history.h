/// Past load reports of an emulated engine, from which the engine reports its load with a delay.
#pragma once

#include <deque>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Keeps at most one report for each interval of length kReportInterval: the last one made in it.
class LoadHistory {
 public:
  static constexpr common::Duration kReportInterval = std::chrono::milliseconds(20);

  /// \return true if no report has been recorded yet in the interval that contains `now`.
  bool startsInterval(common::MonotonicTime now) const;
  void record(common::MonotonicTime now, engines::EngineLoad load);
  /// \return the newest report made at or before `time`, or else the oldest one; null if there is
  ///   none.
  const engines::EngineLoad* at(common::MonotonicTime time) const;
  /// Drops the reports that at() would return neither for `time` nor for any later time.
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
