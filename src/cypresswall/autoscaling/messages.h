/// Messages between the node that plans the zone's roles and the one that orders engines.
#pragma once

#include <map>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::autoscaling {

/// What callers ask of a model now.
struct ModelLoad {
  /// Seconds a second that the work takes engines.
  double busy_engines = 0;
  /// Mean time that a long prompt takes an engine, in seconds.
  double long_prompt_seconds = 0;
  MSGPACK_DEFINE(busy_engines, long_prompt_seconds)
};

/// Told by the node that sees the demand of all others.
struct DemandNews {
  static constexpr auto kType = api::messageType(api::MessageType::kAutoscalingFirst, 0);
  std::map<common::ModelName, ModelLoad> loads;
  MSGPACK_DEFINE(loads)
};

}  // namespace cypresswall::autoscaling
