/// Settings for counting the requests of each tenant and reporting the counts to the platform.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

struct UsageSettings {
  /// True if the platform accepts usage reports. If false, nothing is counted or reported.
  bool reports = false;
  /// Length of a usage window. Window 0 begins at the Unix epoch.
  common::Duration window = std::chrono::seconds(5);
  /// Time after the end of a window by which the platform must have its report.
  common::Duration due_after = std::chrono::seconds(10);
  /// Part of `due_after` reserved for the calls to the object store and the platform, and for a
  /// change of the lease holder. Once only this much of `due_after` is left, the report is made
  /// without the counts that have not arrived.
  common::Duration reporting_reserve = std::chrono::seconds(4);
  /// Minimum delay between the end of a window and its report, so that nodes' messages with final
  /// counts can arrive.
  common::Duration settling_time = std::chrono::milliseconds(150);
  /// Number of collectors. Each of them collects all counts, so that the counts survive the failure
  /// of the others.
  std::size_t collectors = 3;
  /// Minimum interval between two updates that a node sends to each collector. If the node fails,
  /// the requests counted since its last update are lost.
  common::Duration update_interval = std::chrono::milliseconds(300);
  /// Maximum number of updates per second that a collector should receive from all nodes together.
  /// In a large fleet, each node therefore sends updates less often than `update_interval` allows.
  double maximum_updates_per_second = 250;
  /// Number of windows whose counts a node retains, so that it can send them to a new collector,
  /// and number of reported windows of which collectors retain the report. A copy from which the
  /// store may be restored must not be older.
  std::size_t retained_windows = 12;
  /// Maximum number of past windows that are still reported after an outage; older windows are
  /// given up.
  std::uint64_t maximum_backlog_windows = 120;
  /// A collector takes over the reporting if the report of a window is late by this time multiplied
  /// by the collector's rank, which is zero for the first collector.
  common::Duration takeover_delay = std::chrono::seconds(2);
  /// Time that a new collector waits before it reports, so that the other collectors can tell it
  /// which windows were reported and send it the counts of nodes that have ended.
  common::Duration handover_time = std::chrono::milliseconds(500);
  /// Maximum time that the lease holder waits until the other collectors have confirmed their copy
  /// of a report.
  common::Duration replication_timeout = std::chrono::milliseconds(500);
  /// Delay after a failed call to the object store or the platform before the next call.
  common::Duration retry_delay = std::chrono::milliseconds(250);
  common::Duration tick_interval = std::chrono::milliseconds(100);
  /// A node's time is corrected if it differs by more than this from the median of the nodes'
  /// times.
  common::Duration clock_tolerance = std::chrono::milliseconds(200);
};

}  // namespace cypresswall::duties
