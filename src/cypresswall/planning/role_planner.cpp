#include "cypresswall/planning/role_planner.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cypresswall::planning {
namespace {

using engines::EngineRole;

constexpr std::array kRoles = {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode};

std::size_t indexOf(EngineRole role) {
  return static_cast<std::size_t>(
      std::distance(kRoles.begin(), std::find(kRoles.begin(), kRoles.end(), role)));
}

/// Relative variance of the weighted estimate of the long prompts' demand at a rate of one long
/// prompt per second, with random arrivals, varying prompt lengths, and exponential windows of 10
/// and 60 s. The variance is inversely proportional to the rate.
constexpr double kEstimateVariance = 0.031;

std::string describe(const PlanAlternative& best, double required) {
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
    const auto in_progress = input.changes_in_progress.find(model);
    const common::Duration measured = input.expected_change_time;
    state.change_time =
        common::toSeconds(measured.count() > 0 ? measured : settings_.expected_change_time);
    state.in_progress = in_progress == input.changes_in_progress.end() ? 0 : in_progress->second;
    for (const PlannedEngine* engine : state.engines) {
      if (engine->available) {
        const double speed = CapacityModel::decodeSpeed(*engine, state.demand.between_tokens_limit);
        capacity_.add(state.capacity, *engine, engine->role, speed);
      }
    }
    for (const EngineRole role : kRoles) {
      state.least_busy[indexOf(role)] = leastBusyEngine(state, role);
    }
    state.queueing_matters = queueingMatters(state);
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

bool RolePlanner::queueingMatters(const ModelState& state) const {
  const DemandRate& recent = state.demand.short_window;
  const DemandRate& past = state.demand.long_window;
  const double weight = settings_.short_window_weight;
  const auto mean = [weight](double left, double right) {
    return weight * left + (1.0 - weight) * right;
  };
  const double requests = mean(recent.long_requests_per_second, past.long_requests_per_second);
  if (requests <= 0) {
    return false;
  }
  const double tokens =
      mean(recent.long_prefill_tokens_per_second, past.long_prefill_tokens_per_second);
  const double utilisation =
      CapacityModel::longPromptUtilisation(state.engines, settings_.capacity, tokens);
  const double margin = settings_.confidence_deviations * std::sqrt(kEstimateVariance / requests);
  return utilisation * (1.0 - margin) > settings_.long_prompt_utilisation_threshold;
}

std::uint32_t RolePlanner::maximumChanging(const ModelState& state) const {
  const double share = settings_.maximum_changing_share * static_cast<double>(state.engines.size());
  return std::max(1U, static_cast<std::uint32_t>(share));
}

double RolePlanner::lostRate(const ModelState& state, const RoleCapacity& capacity,
                             const DemandRate& demand) const {
  const double requests = demand.requests_per_second;
  const double overloaded = requests * capacity_.lostShare(capacity_.utilisation(capacity, demand));
  const double waiting =
      state.queueing_matters ? capacity_.lostByQueueing(capacity, state.demand, demand) : 0;
  return std::min(requests, overloaded + waiting);
}

double RolePlanner::lostRate(Forecast& forecast, const RoleCapacity& capacity) const {
  const std::array<double, 3> key = {capacity.prefill_engines, capacity.mixed_engines,
                                     capacity.decode_engines};
  const auto [entry, added] = forecast.rates.try_emplace(key, 0.0);
  if (added) {
    entry->second = lostRate(forecast.state, capacity, forecast.demand);
  }
  return entry->second;
}

RolePlanner::Path RolePlanner::initialPath(const ModelState& state, double horizon) const {
  Path path{state.capacity, {}, horizon, settings_.maximum_steps};
  for (std::size_t role = 0; role < kRoles.size(); ++role) {
    path.movable[role] = static_cast<std::size_t>(std::count_if(
        state.engines.begin(), state.engines.end(),
        [&](const auto* engine) { return engine->changeable && engine->role == kRoles[role]; }));
  }
  return path;
}

double RolePlanner::lostByMove(Forecast& forecast, Path path, const PlannedEngine& engine,
                               EngineRole to) const {
  const ModelState& state = forecast.state;
  const double speed = CapacityModel::decodeSpeed(engine, state.demand.between_tokens_limit);
  capacity_.add(path.capacity, engine, engine.role, speed, -1.0);
  const double change_time = std::min(path.remaining, state.change_time);
  const double lost_during_change = lostRate(forecast, path.capacity) * change_time;
  capacity_.add(path.capacity, engine, to, speed);
  path.remaining -= change_time;
  --path.steps;
  --path.movable[indexOf(engine.role)];
  return lost_during_change + lostOnPath(forecast, path);
}

double RolePlanner::lostOnPath(Forecast& forecast, const Path& path) const {
  const double rate = lostRate(forecast, path.capacity);
  double least = rate * path.remaining;
  // Further changes are considered only if queueing delays count: without these, several changes
  // gain nothing where a single one does not.
  if (path.steps <= 0 || rate <= 0 || !forecast.state.queueing_matters) {
    return least;
  }
  for (std::size_t role = 0; role < kRoles.size(); ++role) {
    const PlannedEngine* engine = forecast.state.least_busy[role];
    if (engine == nullptr || path.movable[role] == 0) {
      continue;
    }
    for (const EngineRole to : kRoles) {
      if (to != kRoles[role]) {
        least = std::min(least, forecast.weight + lostByMove(forecast, path, *engine, to));
      }
    }
  }
  return least;
}

double RolePlanner::benefit(Forecast& recent, Forecast& past, const PlannedEngine& engine,
                            EngineRole to, double horizon) const {
  const Path start = initialPath(recent.state, horizon);
  const auto gain = [&](Forecast& forecast) {
    return lostRate(forecast, start.capacity) * start.remaining -
           lostByMove(forecast, start, engine, to);
  };
  const double gain_short = gain(recent);
  const double gain_long = gain(past);
  // If the short window shows no benefit, the reason for the change no longer exists, and the lower
  // gain is returned. Otherwise the gains of both windows are weighted.
  if (gain_short <= 0) {
    return std::min(gain_short, gain_long);
  }
  const double weight = settings_.short_window_weight;
  return weight * gain_short + (1.0 - weight) * gain_long;
}

const PlannedEngine* RolePlanner::leastBusyEngine(const ModelState& state, EngineRole role) const {
  const PlannedEngine* least_busy = nullptr;
  for (const PlannedEngine* engine : state.engines) {
    if (engine->changeable && engine->role == role &&
        (least_busy == nullptr || engine->streams < least_busy->streams)) {
      least_busy = engine;
    }
  }
  return least_busy;
}

std::vector<PlanAlternative> RolePlanner::evaluateAlternatives(
    const ModelState& state, const configuration::PlanningPolicy& policy) const {
  std::vector<PlanAlternative> alternatives;
  const double horizon = common::toSeconds(policy.horizon);
  Forecast recent{state, state.demand.short_window, policy.role_change_weight};
  Forecast past{state, state.demand.long_window, policy.role_change_weight};
  for (const EngineRole from : kRoles) {
    const PlannedEngine* engine = state.least_busy[indexOf(from)];
    if (engine == nullptr) {
      continue;
    }
    for (const EngineRole to : kRoles) {
      if (to != from) {
        alternatives.push_back(
            {engine->name, from, to, benefit(recent, past, *engine, to, horizon)});
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
  explanation.lost_without_change = lostRate(state, state.capacity, state.demand.short_window) *
                                    common::toSeconds(policy.horizon);
  if (!policy.automatic_roles) {
    explanation.conclusion = "no change: roles are left to the operators";
  } else if (explanation.lost_without_change <= 0) {
    explanation.conclusion = "no change: the roles as they are lose no answers";
  } else if (state.in_progress >= maximumChanging(state)) {
    explanation.conclusion = "no change: as many engines are away as may be";
  } else {
    explanation.alternatives = evaluateAlternatives(state, policy);
    if (explanation.alternatives.empty()) {
      explanation.conclusion = "no change: no engine may be changed";
    } else {
      const PlanAlternative& best = explanation.alternatives.front();
      explanation.conclusion = describe(best, explanation.required_benefit);
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
