/// Settings of the checkpoint of learnt state.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::checkpoint {

struct CheckpointSettings {
  bool enabled = false;
  /// Time between two writes of the zone's checkpoint. What the last of these intervals taught is
  /// lost when all nodes end.
  common::Duration interval = std::chrono::seconds(15);
  /// A part that was saved longer ago is ignored.
  common::Duration maximum_age = std::chrono::minutes(10);
  /// Maximum size of the stored object.
  std::size_t maximum_bytes = std::size_t{32} << 10;
  /// How long after its start a node takes over what is stored. Later it has learnt enough itself.
  common::Duration start_time = std::chrono::seconds(10);
  /// Delay before a failed call is repeated; doubled after each further failure.
  common::Duration retry_delay = std::chrono::seconds(1);
};

}  // namespace cypresswall::checkpoint
