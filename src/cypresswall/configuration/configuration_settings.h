/// Intervals, timeouts and limits of the replicated configuration.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::configuration {

struct ConfigurationSettings {
  /// Interval at which a node compares its version with those of peers and zones.
  common::Duration repair_interval = std::chrono::milliseconds(1000);
  /// A node sends no further pull while one is unanswered, but for no longer than this.
  common::Duration pull_timeout = std::chrono::milliseconds(400);
  /// One node of each zone, the zone's reader, reads the store and pulls from other zones. Another
  /// node pulls from another zone only once its version has lagged behind for this long.
  common::Duration cross_zone_pull_delay = std::chrono::seconds(2);

  /// Interval at which a node that is not ready asks peers for a configuration.
  common::Duration bootstrap_interval = std::chrono::milliseconds(300);
  /// A new node waits this long for a configuration from its zone's peers. Then it also asks other
  /// zones and, if it is the zone's reader, reads the store.
  common::Duration peer_bootstrap_delay = std::chrono::milliseconds(1000);
  /// A new node that is not the zone's reader reads the store if it has no configuration after this
  /// long.
  common::Duration store_bootstrap_delay = std::chrono::seconds(3);

  /// Interval at which the zone's reader polls the store, because watch events may be lost.
  common::Duration probe_interval = std::chrono::seconds(2);
  /// Delay before a failed call to the store is retried.
  common::Duration store_retry_delay = std::chrono::milliseconds(500);

  /// Interval at which an approval request is resent to zones that have not answered.
  common::Duration approval_retry_interval = std::chrono::milliseconds(300);
  /// A zone that has not answered after this long counts as refusing the change.
  common::Duration approval_timeout = std::chrono::milliseconds(1500);
  /// A write to the store whose answer was lost is retried for this long before its outcome is
  /// reported as unknown.
  common::Duration settle_timeout = std::chrono::seconds(8);

  /// Minimum time between two publications of the zone's version to other zones.
  common::Duration publish_interval = std::chrono::milliseconds(1000);

  /// Maximum number of changes kept in memory, for peers that lack them and for write-back to a
  /// restored store.
  std::size_t retained_changes = 2048;
  /// Maximum size of the changes kept in memory; the newest is kept whatever its size.
  std::size_t retained_bytes = 8U << 20;
  /// Maximum number of records kept in memory. A record holds the version, digest, identifier and
  /// author of a change and is kept longer than the change.
  std::size_t retained_records = 8192;
  /// Maximum number of records in a snapshot. A node that starts from the snapshot recognises by
  /// them a retry of a change that was accepted before.
  std::size_t snapshot_records = 512;
  /// Number of versions between two snapshots in the store: the node that commits a version
  /// divisible by this number rewrites the snapshot.
  std::uint64_t snapshot_interval = 64;
  /// Approximate maximum size of the changes in one message.
  std::size_t message_bytes = 256U << 10;
};

}  // namespace cypresswall::configuration
