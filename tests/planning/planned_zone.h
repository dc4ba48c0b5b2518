/// Planner input for a zone with one model.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cypresswall/planning/planner.h"

namespace cypresswall::testing {

/// The only model of these zones.
inline const common::ModelName kPlannedModel = "m";

/// \return an available, changeable engine with the speeds of `like`
inline planning::PlannedEngine plannedEngine(int number, engines::EngineRole role,
                                             planning::PlannedEngine like) {
  like.name = std::string("e").append(std::to_string(100 + number));
  like.model = kPlannedModel;
  like.role = role;
  like.available = true;
  like.changeable = true;
  return like;
}

/// \return the given number of engines per role, with the speeds of `like`, named from e100 on
inline planning::PlanningInput plannedZone(
    const planning::PlannedEngine& like,
    const std::vector<std::pair<engines::EngineRole, int>>& counts) {
  planning::PlanningInput input;
  int number = 0;
  for (const auto& [role, count] : counts) {
    for (int i = 0; i < count; ++i) {
      input.engines.push_back(plannedEngine(number++, role, like));
    }
  }
  return input;
}

inline void setDemand(planning::PlanningInput& input, const planning::DemandRate& short_window,
                      const planning::DemandRate& long_window) {
  planning::ModelDemand& demand = input.demand[kPlannedModel];
  demand.short_window = short_window;
  demand.long_window = long_window;
}

}  // namespace cypresswall::testing
