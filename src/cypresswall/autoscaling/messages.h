/// Messages from the node that plans the zone's roles to the one that orders engines.
#pragma once

#include <map>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::autoscaling {

/// Current load of a model.
struct ModelLoad {
  /// Mean number of engines that the model's requests keep busy.
  double busy_engines = 0;
  /// Mean time in seconds that a prefill engine takes to compute a prompt; zero if prefill engines
  /// receive no prompts.
  double long_prompt_seconds = 0;
  MSGPACK_DEFINE(busy_engines, long_prompt_seconds)
};

/// Sent to the node that orders engines by the node that plans the zone's roles, which aggregates
/// the zone's demand.
struct DemandUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kAutoscalingFirst, 0);
  std::map<common::ModelName, ModelLoad> loads;
  MSGPACK_DEFINE(loads)
};

}  // namespace cypresswall::autoscaling
