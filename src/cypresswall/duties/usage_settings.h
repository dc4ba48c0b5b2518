/// How the requests of tenants are counted and reported.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

struct UsageSettings {
  /// False where the platform takes no reports: nothing is counted.
  bool reports = false;
  /// Length of a window; windows are counted from the start of 1970.
  common::Duration window = std::chrono::seconds(5);
  /// How long after its end a window's report is due.
  common::Duration due_after = std::chrono::seconds(10);
  /// Of that, kept for the calls that a report takes and for a holder that has to be replaced: a
  /// node that told nothing of a window until then is no longer waited for.
  common::Duration kept_for_reporting = std::chrono::seconds(4);
  /// A window is summed up no earlier than this after its end: messages are on their way.
  common::Duration settling_time = std::chrono::milliseconds(150);
  /// Nodes that collect the counts of all; each may end at any moment.
  std::size_t collectors = 3;
  /// Between two messages of a node to the collectors, at least. What a node counted since its last
  /// message is lost if it ends.
  common::Duration tell_interval = std::chrono::milliseconds(300);
  /// Messages a second that a collector takes: in a fleet that would send more, each node waits
  /// longer between two.
  double told_per_second = 250;
  /// Windows that a node can tell again to a new collector.
  std::size_t kept_windows = 12;
  /// Windows that are made up for after a time without a report; older ones are given up.
  std::uint64_t windows_made_up_for = 120;
  /// Another collector takes the duty over if a window is late by this times its place in the
  /// order of collectors.
  common::Duration stand_in_delay = std::chrono::seconds(2);
  /// A new collector waits so long for what the others hand on to it: which windows were reported,
  /// and what nodes told that have ended.
  common::Duration hand_on_time = std::chrono::milliseconds(500);
  /// Before another call after one that failed.
  common::Duration retry_delay = std::chrono::milliseconds(250);
  common::Duration tick_interval = std::chrono::milliseconds(100);
  /// A node whose time of day differs by more from the middle of the fleet's is told so.
  common::Duration clock_tolerance = std::chrono::milliseconds(200);
};

}  // namespace cypresswall::duties
