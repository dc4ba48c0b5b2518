#include "cypresswall/planning/role_planner.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cypresswall::planning {
namespace {

using engines::EngineRole;

constexpr std::array kRoles = {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode};

std::string sentence(const PlanAlternative& best, double required) {
  const std::string gain = std::to_string(std::lround(best.benefit));
  const std::string needed = std::to_string(std::lround(required));
  const std::string move =
      best.engine + " from " + engines::toString(best.from) + " to " + engines::toString(best.to);
  if (best.benefit > required) {
    return "change " + move + ": gains " + gain + " answers in time, " + needed + " needed";
  }
  return "no change: the best, " + move + ", gains " + gain + " answers in time, " + needed +
         " needed";
}

}  // namespace

std::vector<RolePlanner::ModelState> RolePlanner::groupByModel(const PlanningInput& input) const {
  std::map<common::ModelName, ModelState> by_model;
  for (const PlannedEngine& engine : input.engines) {
    ModelState& state = by_model[engine.model];
    state.engines.push_back(&engine);
  }
  std::vector<ModelState> states;
  for (auto& [model, state] : by_model) {
    state.model = model;
    const auto demand = input.demand.find(model);
    if (demand != input.demand.end()) {
      state.demand = demand->second;
    }
    const auto under_way = input.changes_under_way.find(model);
    const common::Duration away = input.expected_time_away;
    state.time_away = common::toSeconds(away.count() > 0 ? away : settings_.expected_time_away);
    state.under_way = under_way == input.changes_under_way.end() ? 0 : under_way->second;
    for (const PlannedEngine* engine : state.engines) {
      if (engine->available) {
        const double speed = CapacityModel::decodeSpeed(*engine, state.demand.between_tokens_limit);
        capacity_.add(state.capacity, *engine, engine->role, speed);
      }
    }
    states.push_back(std::move(state));
  }
  return states;
}

Plan RolePlanner::plan(const PlanningInput& input) {
  Plan plan;
  for (const ModelState& state : groupByModel(input)) {
    planModel(state, input.policy, plan);
  }
  return plan;
}

std::uint32_t RolePlanner::maximumAway(const ModelState& state) const {
  const double share = settings_.maximum_away_share * static_cast<double>(state.engines.size());
  return std::max(1U, static_cast<std::uint32_t>(share));
}

double RolePlanner::lostAnswers(const ModelState& state, const DemandRate& demand,
                                const PlannedEngine* engine, EngineRole to, double horizon) const {
  RoleCapacity capacity = state.capacity;
  if (engine == nullptr) {
    const double lost = capacity_.lostShare(capacity_.utilisation(capacity, demand));
    return lost * demand.requests_per_second * horizon;
  }
  const double speed = CapacityModel::decodeSpeed(*engine, state.demand.between_tokens_limit);
  capacity_.add(capacity, *engine, engine->role, speed, -1.0);
  const double away = std::min(horizon, state.time_away);
  const double lost_away = capacity_.lostShare(capacity_.utilisation(capacity, demand));
  capacity_.add(capacity, *engine, to, speed);
  const double lost_after = capacity_.lostShare(capacity_.utilisation(capacity, demand));
  return demand.requests_per_second * (lost_away * away + lost_after * (horizon - away));
}

double RolePlanner::benefit(const ModelState& state, const PlannedEngine& engine, EngineRole to,
                            double horizon) const {
  const auto gain = [&](const DemandRate& demand) {
    return lostAnswers(state, demand, nullptr, to, horizon) -
           lostAnswers(state, demand, &engine, to, horizon);
  };
  const double gain_short = gain(state.demand.short_window);
  const double gain_long = gain(state.demand.long_window);
  // A change that only one window asks for counts for that window's weight; one that the short
  // window does not ask for is of the past.
  if (gain_short <= 0) {
    return std::min(gain_short, gain_long);
  }
  const double weight = settings_.short_window_weight;
  return weight * gain_short + (1.0 - weight) * gain_long;
}

const PlannedEngine* RolePlanner::cheapestToMove(const ModelState& state, EngineRole role) const {
  const PlannedEngine* cheapest = nullptr;
  for (const PlannedEngine* engine : state.engines) {
    if (engine->changeable && engine->role == role &&
        (cheapest == nullptr || engine->streams < cheapest->streams)) {
      cheapest = engine;
    }
  }
  return cheapest;
}

std::vector<PlanAlternative> RolePlanner::weigh(const ModelState& state,
                                                const configuration::PlanningPolicy& policy) const {
  std::vector<PlanAlternative> alternatives;
  const double horizon = common::toSeconds(policy.horizon);
  for (const EngineRole from : kRoles) {
    const PlannedEngine* engine = cheapestToMove(state, from);
    if (engine == nullptr) {
      continue;
    }
    for (const EngineRole to : kRoles) {
      if (to != from) {
        alternatives.push_back({engine->name, from, to, benefit(state, *engine, to, horizon)});
      }
    }
  }
  std::stable_sort(alternatives.begin(), alternatives.end(),
                   [](const PlanAlternative& left, const PlanAlternative& right) {
                     return left.benefit > right.benefit;
                   });
  return alternatives;
}

void RolePlanner::planModel(const ModelState& state, const configuration::PlanningPolicy& policy,
                            Plan& plan) {
  ModelExplanation explanation;
  explanation.model = state.model;
  explanation.demand = state.demand;
  explanation.required_benefit = policy.role_change_weight;
  explanation.utilisation_short = capacity_.utilisation(state.capacity, state.demand.short_window);
  explanation.utilisation_long = capacity_.utilisation(state.capacity, state.demand.long_window);
  explanation.lost_without_change =
      lostAnswers(state, state.demand.short_window, nullptr, EngineRole::kMixed,
                  common::toSeconds(policy.horizon));
  if (!policy.automatic_roles) {
    explanation.conclusion = "no change: roles are left to the operators";
  } else if (explanation.lost_without_change <= 0) {
    explanation.conclusion = "no change: the roles as they are lose no answers";
  } else if (state.under_way >= maximumAway(state)) {
    explanation.conclusion = "no change: as many engines are away as may be";
  } else {
    explanation.alternatives = weigh(state, policy);
    if (explanation.alternatives.empty()) {
      explanation.conclusion = "no change: no engine may be changed";
    } else {
      const PlanAlternative& best = explanation.alternatives.front();
      explanation.conclusion = sentence(best, explanation.required_benefit);
      if (best.benefit > explanation.required_benefit) {
        plan.changes.push_back({best.engine, best.to});
      }
    }
  }
  if (explanation.alternatives.size() > settings_.explained_alternatives) {
    explanation.alternatives.resize(settings_.explained_alternatives);
  }
  plan.explanations.push_back(std::move(explanation));
}

}  // namespace cypresswall::planning
