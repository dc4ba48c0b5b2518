#include "cypresswall/orders/planning_input.h"

#include <algorithm>

#include "cypresswall/orders/desired_state.h"

namespace cypresswall::orders {
namespace {

using engines::EngineRole;

/// \return the prefill speed, in tokens per second, that the engine would have in the role
///   "prefill"
double fullPrefillSpeed(const engines::EngineLoad& load,
                        const planning::CapacitySettings& capacity) {
  switch (load.role) {
    case EngineRole::kMixed:
      return load.prefill_tokens_per_second / capacity.mixed_prefill_share;
    case EngineRole::kDecode:
      return load.prefill_tokens_per_second / capacity.decode_prefill_share;
    case EngineRole::kPrefill:
      break;
  }
  return load.prefill_tokens_per_second;
}

planning::PlannedEngine plannedEngine(const PlanningSources& sources,
                                      const routing::EngineRecord& record,
                                      const planning::CapacitySettings& capacity) {
  planning::PlannedEngine engine;
  engine.name = record.declaration.name;
  engine.model = record.declaration.model;
  engine.role = record.load.role;
  // A pause ends within seconds, sooner than a change of roles that would make up for it.
  const bool works = record.availability == routing::EngineAvailability::kAvailable ||
                     record.availability == routing::EngineAvailability::kPaused;
  engine.available = works && record.load.model == record.declaration.model;
  engine.prefill_tokens_per_second = fullPrefillSpeed(record.load, capacity);
  engine.decode_step_base = common::toSeconds(record.load.decode_step_base);
  engine.decode_step_per_stream = common::toSeconds(record.load.decode_step_per_stream);
  engine.maximum_streams = record.load.maximum_streams;
  engine.streams = record.load.running_streams + record.load.waiting_streams;
  const auto control = sources.controls.find(engine.name);
  if (control == sources.controls.end()) {
    engine.changeable =
        sources.without_lease && engine.available && !rolePinned(sources.fleet, engine.name);
    return engine;
  }
  const EngineControl& state = *control->second;
  if (state.changing() && state.change().change.drain) {
    engine.available = true;
    if (state.change().change.content.kind == engines::OrderKind::kChangeRole) {
      engine.role = state.change().change.content.role;
    }
  }
  engine.changeable = engine.available && state.phase() == ControlPhase::kIdle &&
                      state.pausedUntil() <= sources.now && !rolePinned(sources.fleet, engine.name);
  return engine;
}

/// Sets the latency limits in `demand` from the services that use the model. A limit that none of
/// these services declares keeps its default.
void applyLimits(const configuration::FleetConfiguration& fleet, const common::ModelName& model,
                 planning::ModelDemand& demand) {
  std::vector<common::Duration> between_tokens;
  std::vector<common::Duration> first_token;
  for (const auto& [name, service] : fleet.model_services) {
    if (service.model != model) {
      continue;
    }
    if (service.between_tokens_limit.count() > 0) {
      between_tokens.push_back(service.between_tokens_limit);
    }
    if (service.first_token_target.count() > 0) {
      first_token.push_back(service.first_token_target);
    } else if (service.first_token_limit.count() > 0) {
      first_token.push_back(service.first_token_limit);
    }
  }
  if (!between_tokens.empty()) {
    demand.between_tokens_limit = *std::min_element(between_tokens.begin(), between_tokens.end());
  }
  if (!first_token.empty()) {
    demand.short_first_token_limit = *std::min_element(first_token.begin(), first_token.end());
    demand.long_first_token_limit = *std::max_element(first_token.begin(), first_token.end());
  }
}

}  // namespace

planning::PlanningInput makePlanningInput(const PlanningSources& sources,
                                          const planning::CapacitySettings& capacity) {
  planning::PlanningInput input;
  input.policy = sources.fleet.planning;
  for (const routing::EngineRecord& record : sources.records) {
    if (record.reported) {
      input.engines.push_back(plannedEngine(sources, record, capacity));
    }
    const auto control = sources.controls.find(record.declaration.name);
    if (control != sources.controls.end() && control->second->changing()) {
      ++input.changes_in_progress[record.declaration.model];
    }
  }
  for (const auto& [model, declaration] : sources.fleet.models) {
    planning::ModelDemand demand = sources.demand.demand(model, sources.now);
    applyLimits(sources.fleet, model, demand);
    input.demand[model] = demand;
  }
  return input;
}

}  // namespace cypresswall::orders
