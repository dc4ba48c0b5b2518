#include "cypresswall/planning/baseline_planners.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::planning {
namespace {

using engines::EngineRole;

using EnginesByModel = std::map<common::ModelName, std::vector<const PlannedEngine*>>;

EnginesByModel byModel(const PlanningInput& input) {
  EnginesByModel models;
  for (const PlannedEngine& engine : input.engines) {
    models[engine.model].push_back(&engine);
  }
  return models;
}

bool changeInProgress(const PlanningInput& input, const common::ModelName& model) {
  const auto found = input.changes_in_progress.find(model);
  return found != input.changes_in_progress.end() && found->second > 0;
}

/// Adds the change of the first engine whose role differs from its entry in `wanted`, unless a
/// change of the same model is already in progress.
void addFirstDifference(const PlanningInput& input, const common::ModelName& model,
                        const std::vector<const PlannedEngine*>& engines,
                        const std::vector<EngineRole>& wanted, Plan& plan) {
  if (changeInProgress(input, model)) {
    return;
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (engines[i]->changeable && engines[i]->role != wanted[i]) {
      plan.changes.push_back({engines[i]->name, wanted[i]});
      return;
    }
  }
}

const PlannedEngine* leastBusy(const std::vector<const PlannedEngine*>& engines, EngineRole role) {
  const PlannedEngine* found = nullptr;
  for (const PlannedEngine* engine : engines) {
    if (engine->changeable && engine->role == role &&
        (found == nullptr || engine->streams < found->streams)) {
      found = engine;
    }
  }
  return found;
}

/// \return utilisation by one kind of work; infinite if there is demand but no speed
/// \param demand tokens per second requested
/// \param speed tokens per second that the engines can serve
double utilisation(double demand, double speed) {
  if (demand <= 0) {
    return 0;
  }
  return speed > 0 ? demand / speed : HUGE_VAL;
}

}  // namespace

Plan AllMixedPlanner::plan(const PlanningInput& input) {
  Plan plan;
  for (const auto& [model, engines] : byModel(input)) {
    addFirstDifference(input, model, engines,
                       std::vector<EngineRole>(engines.size(), EngineRole::kMixed), plan);
  }
  return plan;
}

Plan StaticSplitPlanner::plan(const PlanningInput& input) {
  Plan plan;
  for (const auto& [model, engines] : byModel(input)) {
    const double count = prefill_share_ * static_cast<double>(engines.size());
    const auto prefill = static_cast<std::size_t>(std::lround(count));
    std::vector<EngineRole> wanted(engines.size(), EngineRole::kDecode);
    std::fill_n(wanted.begin(), std::min(prefill, wanted.size()), EngineRole::kPrefill);
    addFirstDifference(input, model, engines, wanted, plan);
  }
  return plan;
}

Plan ThresholdPlanner::plan(const PlanningInput& input) {
  Plan plan;
  for (const auto& [model, engines] : byModel(input)) {
    const auto found = input.demand.find(model);
    if (found == input.demand.end() || changeInProgress(input, model)) {
      continue;
    }
    const ModelDemand& demand = found->second;
    RoleCapacity capacity;
    for (const PlannedEngine* engine : engines) {
      if (engine->available) {
        capacity_.add(capacity, *engine, engine->role,
                      CapacityModel::decodeSpeed(*engine, demand.between_tokens_limit));
      }
    }
    const double prefill = utilisation(demand.short_window.prefill_tokens_per_second,
                                       capacity.prefill_only + capacity.mixed_prefill / 2);
    const double decode = utilisation(demand.short_window.decode_tokens_per_second,
                                      capacity.decode_decode + capacity.mixed_decode / 2);
    const bool more_prefill = prefill > threshold_ && decode < threshold_;
    const bool more_decode = decode > threshold_ && prefill < threshold_;
    if (!more_prefill && !more_decode) {
      continue;
    }
    const EngineRole wanted = more_prefill ? EngineRole::kPrefill : EngineRole::kDecode;
    const EngineRole other = more_prefill ? EngineRole::kDecode : EngineRole::kPrefill;
    const PlannedEngine* engine = leastBusy(engines, EngineRole::kMixed);
    engine = engine == nullptr ? leastBusy(engines, other) : engine;
    if (engine != nullptr) {
      plan.changes.push_back({engine->name, wanted});
    }
  }
  return plan;
}

}  // namespace cypresswall::planning
