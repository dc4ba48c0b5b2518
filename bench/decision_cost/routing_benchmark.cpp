/// Cost of one routing decision in a zone of the target size.
#include <benchmark/benchmark.h>

#include "cypresswall/routing/cost_router.h"
#include "tests/support/engine_world.h"

namespace cypresswall {
namespace {

/// A router over `engine_count` engines with random loads.
class RouterBench {
 public:
  explicit RouterBench(int engine_count, bool split_roles) : simulation_(1) {
    common::SeededRandom random(7);
    for (int i = 0; i < engine_count; ++i) {
      const std::string name = "engine-" + std::to_string(1000 + i);
      testing::declareEngine(fleet_, name, "m");
      auto& load = engines_[name + ":1"].load;
      load = testing::idleLoad("m", engines::EngineRole::kMixed);
      load.running_streams = static_cast<std::uint32_t>(random.below(20));
      load.queued_prefill_tokens = random.below(8000);
      if (split_roles) {
        load.role = i % 2 == 0 ? engines::EngineRole::kPrefill : engines::EngineRole::kDecode;
      }
    }
    auto& process = simulation_.start("10.0.0.1:7000", "z");
    auto& configuration = process.emplace<testing::SettableConfiguration>();
    auto& membership = process.emplace<testing::SettableMembership>(process.id(), "z");
    auto& client = process.emplace<testing::ScriptedEngineClient>(process, engines_);
    directory_ = &process.emplace<routing::EngineDirectory>(
        routing::DirectorySettings{}, process.context(), client, configuration, membership);
    router_ = &process.emplace<routing::CostRouter>(routing::RouterSettings{}, process.context(),
                                                    *directory_);
    directory_->start();
    membership.setMembers({process.id()});
    configuration.set(fleet_);
    simulation_.time().runFor(std::chrono::seconds(2));
    for (std::uint64_t piece = 0; piece < 100000; ++piece) {
      directory_->prefixes().stored(
          static_cast<routing::EngineSlot>(piece % static_cast<std::uint64_t>(engine_count)),
          common::hash64(std::to_string(piece)), 0, process.context().clock.now());
    }
  }

  routing::CostRouter& router() { return *router_; }

 private:
  simulation::Simulation simulation_;
  configuration::FleetConfiguration fleet_;
  testing::ScriptedEngines engines_;
  routing::EngineDirectory* directory_ = nullptr;
  routing::CostRouter* router_ = nullptr;
};

routing::RouteRequest requestWithPieces(std::uint32_t pieces) {
  routing::RouteRequest request;
  request.stream_id = "request";
  request.model = "m";
  request.version = "1";
  request.shape.tokens = pieces * common::kTokensPerCachePiece + 500;
  for (std::uint32_t i = 0; i < pieces; ++i) {
    request.shape.pieces.push_back(common::hash64(std::to_string(i)));
  }
  request.maximum_tokens = 200;
  request.first_token_limit = std::chrono::milliseconds(1300);
  request.between_tokens_limit = std::chrono::milliseconds(79);
  return request;
}

void routeDecision(benchmark::State& state, bool split_roles) {
  RouterBench bench(static_cast<int>(state.range(0)), split_roles);
  const auto request = requestWithPieces(static_cast<std::uint32_t>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(bench.router().choose(request));
  }
}

void mixedRoles(benchmark::State& state) { routeDecision(state, false); }
void splitRoles(benchmark::State& state) { routeDecision(state, true); }

BENCHMARK(mixedRoles)->Args({31, 0})->Args({370, 0})->Args({370, 10})->Args({1000, 10});
BENCHMARK(splitRoles)->Args({370, 0})->Args({370, 10});

}  // namespace
}  // namespace cypresswall

BENCHMARK_MAIN();
