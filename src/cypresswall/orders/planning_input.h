/// Builds the planner's input from the state of the zone controller.
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

struct PlanningSources {
  const configuration::FleetConfiguration& fleet;
  const std::vector<routing::EngineRecord>& records;
  const std::map<common::EngineName, std::unique_ptr<EngineControl>>& controls;
  const planning::DemandEstimator& demand;
  common::MonotonicTime now;
  /// True if this node plans without holding the lease. There are no EngineControls then, so every
  /// available engine whose role is not pinned counts as changeable.
  bool without_lease = false;
};

/// \return the planner's input; an engine whose role is being changed counts as available in its
///   new role
planning::PlanningInput makePlanningInput(const PlanningSources& sources,
                                          const planning::CapacitySettings& capacity);

}  // namespace cypresswall::orders
