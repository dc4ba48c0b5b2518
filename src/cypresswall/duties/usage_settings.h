/// Settings of the counting and reporting of tenants' requests.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

struct UsageSettings {
  /// False if the platform accepts no reports; then nothing is counted.
  bool reports = false;
  /// Length of a window; windows are numbered from the Unix epoch.
  common::Duration window = std::chrono::seconds(5);
  /// Deadline of a report after the end of its window.
  common::Duration due_after = std::chrono::seconds(10);
  /// Part of `due_after` reserved for the calls that a report needs and for a change of the lease
  /// holder. Once only this much time is left, the report no longer waits for missing nodes.
  common::Duration reporting_reserve = std::chrono::seconds(4);
  /// Minimum delay between the end of a window and its report, for messages in flight.
  common::Duration settling_time = std::chrono::milliseconds(150);
  /// Number of nodes that collect all counts redundantly, since any node may fail at any time.
  std::size_t collectors = 3;
  /// Minimum interval between messages of a node to the collectors. Counts since the last message
  /// are lost if the node fails.
  common::Duration update_interval = std::chrono::milliseconds(300);
  /// Target maximum of messages per second to a collector: in a larger fleet, each node sends less
  /// often.
  double maximum_updates_per_second = 250;
  /// Windows that a node retains for new collectors.
  std::size_t retained_windows = 12;
  /// Windows that are reported late after an outage; older ones are dropped.
  std::uint64_t maximum_backlog_windows = 120;
  /// A collector takes over if a window is late by this time multiplied by the collector's rank.
  common::Duration takeover_delay = std::chrono::seconds(2);
  /// Time that a new collector waits for state from the others: which windows were reported, and
  /// the counts of nodes that have ended.
  common::Duration handover_time = std::chrono::milliseconds(500);
  /// Delay before the next call after a failed one.
  common::Duration retry_delay = std::chrono::milliseconds(250);
  common::Duration tick_interval = std::chrono::milliseconds(100);
  /// A node whose clock differs by more than this from the fleet's median is corrected.
  common::Duration clock_tolerance = std::chrono::milliseconds(200);
};

}  // namespace cypresswall::duties
