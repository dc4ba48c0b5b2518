#include "cypresswall/orders/planning_input.h"

#include <algorithm>

#include "cypresswall/orders/desired_state.h"

namespace cypresswall::orders {
namespace {

using engines::EngineRole;

/// \return the prompt speed that the engine would have in the role "prefill".
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
  engine.available = record.availability == routing::EngineAvailability::kAvailable &&
                     record.load.model == record.declaration.model;
  engine.prefill_tokens_per_second = fullPrefillSpeed(record.load, capacity);
  engine.decode_step_base = common::toSeconds(record.load.decode_step_base);
  engine.decode_step_per_stream = common::toSeconds(record.load.decode_step_per_stream);
  engine.maximum_streams = record.load.maximum_streams;
  engine.streams = record.load.running_streams + record.load.waiting_streams;
  const auto control = sources.controls.find(engine.name);
  if (control == sources.controls.end()) {
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

common::Duration tightestLimit(const configuration::FleetConfiguration& fleet,
                               const common::ModelName& model) {
  common::Duration tightest{0};
  for (const auto& [name, service] : fleet.model_services) {
    const common::Duration limit = service.between_tokens_limit;
    if (service.model == model && limit.count() > 0) {
      tightest = tightest.count() == 0 ? limit : std::min(tightest, limit);
    }
  }
  return tightest.count() == 0 ? planning::ModelDemand{}.between_tokens_limit : tightest;
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
      ++input.changes_under_way[record.declaration.model];
    }
  }
  for (const auto& [model, declaration] : sources.fleet.models) {
    planning::ModelDemand demand = sources.demand.demand(model, sources.now);
    demand.between_tokens_limit = tightestLimit(sources.fleet, model);
    input.demand[model] = demand;
  }
  return input;
}

}  // namespace cypresswall::orders
