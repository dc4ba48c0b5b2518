/// Builds the planner's view of the zone from what the controller knows.
#pragma once

#include <map>
#include <set>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/orders/engine_control.h"
#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/demand_estimator.h"
#include "cypresswall/planning/planner.h"
#include "cypresswall/routing/engine_record.h"

namespace cypresswall::orders {

/// Where the planner's view comes from.
struct PlanningSources {
  const configuration::FleetConfiguration& fleet;
  const std::vector<routing::EngineRecord>& records;
  const std::map<common::EngineName, std::unique_ptr<EngineControl>>& controls;
  const planning::DemandEstimator& demand;
  common::MonotonicTime now;
  /// The lease is not held yet, so that no engine has a control: any that is available counts as
  /// changeable.
  bool without_lease = false;
};

/// Engines that are changing count in the role they are changing to.
planning::PlanningInput makePlanningInput(const PlanningSources& sources,
                                          const planning::CapacitySettings& capacity);

}  // namespace cypresswall::orders
