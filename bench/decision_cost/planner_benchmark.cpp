/// Cost of one planning round in a zone of the target size.
#include <benchmark/benchmark.h>

#include "cypresswall/common/random.h"
#include "cypresswall/planning/role_planner.h"

namespace cypresswall {
namespace {

constexpr int kModels = 12;

planning::PlanningInput overloadedZone(int engine_count) {
  common::SeededRandom random(3);
  planning::PlanningInput input;
  for (int i = 0; i < engine_count; ++i) {
    planning::PlannedEngine engine;
    engine.name = std::string("engine-").append(std::to_string(1000 + i));
    engine.model = std::string("model-").append(std::to_string(i % kModels));
    engine.role = static_cast<engines::EngineRole>(random.below(3));
    engine.available = true;
    engine.changeable = true;
    engine.prefill_tokens_per_second = 16000;
    engine.decode_step_base = 0.012;
    engine.decode_step_per_stream = 0.0004;
    engine.maximum_streams = 32;
    engine.streams = static_cast<std::uint32_t>(random.below(32));
    input.engines.push_back(engine);
  }
  const double engines_per_model = static_cast<double>(engine_count) / kModels;
  for (int model = 0; model < kModels; ++model) {
    planning::ModelDemand& demand =
        input.demand[std::string("model-").append(std::to_string(model))];
    demand.short_window = {engines_per_model * 3, engines_per_model * 9000, engines_per_model * 500,
                           engines_per_model * 1.5, engines_per_model * 8500};
    demand.long_window = {engines_per_model * 3, engines_per_model * 6000, engines_per_model * 700,
                          engines_per_model, engines_per_model * 5500};
  }
  return input;
}

void plannerRound(benchmark::State& state) {
  const planning::PlanningInput input = overloadedZone(static_cast<int>(state.range(0)));
  planning::RolePlanner planner({});
  for (auto _ : state) {
    benchmark::DoNotOptimize(planner.plan(input));
  }
}

BENCHMARK(plannerRound)->Arg(21)->Arg(370)->Arg(1000);

}  // namespace
}  // namespace cypresswall
