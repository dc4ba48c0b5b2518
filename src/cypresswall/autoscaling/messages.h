/// Messages from the node that plans the zone's roles to the one that orders engines.
#pragma once

#include <map>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::autoscaling {

/// Current load of a model.
struct ModelLoad {
  /// Engine time per second that the requests need, i.e. the mean number of busy engines.
  double busy_engines = 0;
  /// Mean engine time of a long prompt, in seconds.
  double long_prompt_seconds = 0;
  MSGPACK_DEFINE(busy_engines, long_prompt_seconds)
};

/// Sent by the node that aggregates the demand of the zone.
struct DemandUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kAutoscalingFirst, 0);
  std::map<common::ModelName, ModelLoad> loads;
  MSGPACK_DEFINE(loads)
};

}  // namespace cypresswall::autoscaling
