/// Settings of the records of which software build began an answer.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::answer_builds {

struct AnswerBuildSettings {
  /// How long an answer may still be taken up after its first token; longer than callers wait for
  /// an answer. Engines of a build that has left the fleet count for as long.
  common::Duration retention = std::chrono::minutes(2);
  /// Number of other nodes that are told of each answer.
  std::size_t copies = 2;
  /// Number of nodes that are asked about an answer: more than hold copies, since some of these
  /// may have ended and others have become their successors by rendezvous hashing.
  std::size_t asked_nodes = 4;
  /// Time within which a node that was asked must answer.
  common::Duration answer_limit = std::chrono::milliseconds(150);
  /// Number of nodes that have fallen silent which are asked besides, while this node knows one
  /// build only: they may know another one.
  std::size_t silent_nodes_asked = 4;
  /// Longest time that a search waits for the store to confirm that there is one build only.
  common::Duration confirmation_limit = std::chrono::seconds(1);
  /// Delay before the next attempt after a failed one.
  common::Duration confirmation_retry_delay = std::chrono::milliseconds(200);
  /// Shortest time between two confirmations, multiplied by the number of members: the nodes of a
  /// zone together ask the store 200 times a second at the most.
  common::Duration confirmation_interval_per_node = std::chrono::milliseconds(5);
  /// Number of nodes that a node which has started asks at a time for the builds that the models
  /// had before.
  std::size_t nodes_asked_for_history = 4;
  /// Time after which a node that still doesn't know these builds asks other nodes.
  common::Duration history_interval = std::chrono::milliseconds(500);
  /// Longest time that a search for the build of an answer waits for these builds to be known.
  common::Duration history_limit = std::chrono::seconds(1);
  /// Number of nodes that read and write the builds in the store.
  std::size_t store_owners = 3;
  /// Delay before the next call to the store after a failed one.
  common::Duration store_retry_delay = std::chrono::seconds(1);
  /// Maximum number of answers that a node knows, about 60 bytes each. The oldest are evicted
  /// first.
  std::size_t maximum_records = 65536;
};

}  // namespace cypresswall::answer_builds
