/// Periods and limits of the replicated configuration.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::configuration {

struct ConfigurationSettings {
  /// How often a node compares its version with what it knows of peers and zones.
  common::Duration repair_interval = std::chrono::milliseconds(1000);
  /// Least time between two pulls while no answer came.
  common::Duration pull_patience = std::chrono::milliseconds(400);
  /// A node that is behind another zone for this long pulls from there itself, though it is not
  /// its zone's reader.
  common::Duration relay_patience = std::chrono::seconds(2);

  /// How often a node that is not ready asks peers.
  common::Duration start_interval = std::chrono::milliseconds(300);
  /// A new node leaves peers this long to show themselves before it reads the store.
  common::Duration peer_bootstrap_delay = std::chrono::milliseconds(1000);
  /// A new node that is not the zone's reader turns to the store after this long.
  common::Duration store_patience = std::chrono::seconds(3);

  /// How often the zone's reader checks the store beside the watch, whose events may be lost.
  common::Duration probe_interval = std::chrono::seconds(2);
  /// Pause after a failed call to the store.
  common::Duration store_retry = std::chrono::milliseconds(500);

  /// How often zones that have not answered are asked again to accept a change.
  common::Duration approval_retry = std::chrono::milliseconds(300);
  /// A zone that has not answered for this long can't take a change.
  common::Duration approval_timeout = std::chrono::milliseconds(1500);
  /// How long a lost answer of the store is settled before the outcome is called unknown.
  common::Duration settle_limit = std::chrono::seconds(8);

  /// Least time between two publications of the zone's version to other zones.
  common::Duration publish_interval = std::chrono::milliseconds(1000);

  /// Changes kept in memory for peers that lack them and to write back to a restored store.
  std::size_t retained_changes = 2048;
  std::size_t retained_bytes = 8U << 20;
  /// Digests, identifiers and authors kept of older changes.
  std::size_t retained_records = 8192;
  /// Records that a snapshot carries, so that a retried change is recognised after a replacement.
  std::size_t snapshot_records = 512;
  /// The node that commits a multiple of this version rewrites the stored snapshot.
  std::uint64_t snapshot_interval = 64;
  /// Bytes of changes in one message.
  std::size_t message_bytes = 256U << 10;
};

}  // namespace cypresswall::configuration
