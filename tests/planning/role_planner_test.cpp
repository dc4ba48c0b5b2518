#include "cypresswall/planning/role_planner.h"

#include <algorithm>
#include <cmath>

#include "cypresswall/planning/baseline_planners.h"
#include "cypresswall/planning/demand_estimator.h"
#include "tests/planning/planned_zone.h"
#include "tests/support/property.h"

namespace cypresswall::planning {
namespace {

using engines::EngineRole;

/// Engine speeds used in these tests.
PlannedEngine speeds() {
  PlannedEngine engine;
  engine.prefill_tokens_per_second = 16000;
  engine.decode_step_base = 0.012;
  engine.decode_step_per_stream = 0.0004;
  engine.maximum_streams = 32;
  return engine;
}

PlannedEngine engineOf(int number, EngineRole role) {
  return testing::plannedEngine(number, role, speeds());
}

PlanningInput zoneOf(int mixed, int prefill, int decode) {
  return testing::plannedZone(speeds(), {{EngineRole::kMixed, mixed},
                                         {EngineRole::kPrefill, prefill},
                                         {EngineRole::kDecode, decode}});
}

/// Mixed engines under one zone's share of the peak load of the scenario portavia-ship-berths,
/// multiplied by `load`.
PlanningInput longPromptZone(int engines, double load) {
  PlanningInput input = zoneOf(engines, 0, 0);
  const DemandRate rate{8.25 * load, 20000 * load, 750 * load, 3.25 * load, 19500 * load};
  testing::setDemand(input, rate, rate);
  input.demand["m"].short_first_token_limit = std::chrono::milliseconds(500);
  return input;
}

class RolePlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolePlannerTest);
  CPPUNIT_TEST(steadyDemandChangesNothing);
  CPPUNIT_TEST(swingToPromptsMovesADecodeEngine);
  CPPUNIT_TEST(expensiveChangesNeedMoreBenefit);
  CPPUNIT_TEST(oneEngineChangesAtATime);
  CPPUNIT_TEST(unchangeableEnginesNeverMove);
  CPPUNIT_TEST(planSettlesUnderConstantDemand);
  CPPUNIT_TEST(pastSwingChangesNothing);
  CPPUNIT_TEST(longPromptsGetPrefillEngines);
  CPPUNIT_TEST(lowOrUncertainLongPromptLoadChangesNothing);
  CPPUNIT_TEST(separateRolesReduceQueueing);
  CPPUNIT_TEST(utilisationScalesWithDemand);
  CPPUNIT_TEST(baselinePlannersFollowTheirRules);
  CPPUNIT_TEST(estimatorConvergesToSteadyRates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void steadyDemandChangesNothing() {
    RolePlanner planner({});
    PlanningInput input = zoneOf(6, 3, 3);
    const DemandRate rate{20, 30000, 3000};
    testing::setDemand(input, rate, rate);
    const Plan plan = planner.plan(input);
    CPPUNIT_ASSERT(plan.changes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.explanations.size());
    CPPUNIT_ASSERT(!plan.explanations[0].conclusion.empty());
  }

  void swingToPromptsMovesADecodeEngine() {
    RolePlanner planner({});
    PlanningInput input = zoneOf(0, 2, 8);
    const DemandRate swing{20, 90000, 1500};
    testing::setDemand(input, swing, {20, 50000, 3000});
    const Plan plan = planner.plan(input);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.changes.size());
    CPPUNIT_ASSERT(plan.changes[0].role != EngineRole::kDecode);
    const ModelExplanation& why = plan.explanations[0];
    CPPUNIT_ASSERT(why.alternatives[0].benefit > why.required_benefit);
    CPPUNIT_ASSERT(why.alternatives[0].from == EngineRole::kDecode);
  }

  void expensiveChangesNeedMoreBenefit() {
    RolePlanner planner({});
    PlanningInput input = zoneOf(0, 2, 8);
    const DemandRate swing{20, 90000, 1500};
    testing::setDemand(input, swing, swing);
    input.policy.role_change_weight = 1e6;
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
    input.policy.role_change_weight = 1;
    input.policy.automatic_roles = false;
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
  }

  void oneEngineChangesAtATime() {
    RolePlanner planner({});
    PlanningInput input = zoneOf(0, 2, 8);
    const DemandRate swing{20, 90000, 1500};
    testing::setDemand(input, swing, swing);
    input.changes_in_progress["m"] = 1;
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
  }

  void unchangeableEnginesNeverMove() {
    testing::requireProperty("only changeable engines move, each to another role", 300, [] {
      PlanningInput input =
          zoneOf(*rc::gen::inRange(0, 6), *rc::gen::inRange(0, 6), *rc::gen::inRange(0, 6));
      for (PlannedEngine& engine : input.engines) {
        engine.changeable = *rc::gen::arbitrary<bool>();
        engine.available = engine.changeable || *rc::gen::arbitrary<bool>();
      }
      const auto rate = [] {
        return DemandRate{static_cast<double>(*rc::gen::inRange(0, 100)),
                          static_cast<double>(*rc::gen::inRange(0, 200000)),
                          static_cast<double>(*rc::gen::inRange(0, 20000))};
      };
      testing::setDemand(input, rate(), rate());
      RolePlanner planner({});
      const Plan plan = planner.plan(input);
      RC_ASSERT(plan.changes.size() <= 1U);
      for (const RoleChange& change : plan.changes) {
        for (const PlannedEngine& engine : input.engines) {
          if (engine.name == change.engine) {
            RC_ASSERT(engine.changeable);
            RC_ASSERT(engine.role != change.role);
          }
        }
      }
    });
  }

  void planSettlesUnderConstantDemand() {
    testing::requireProperty("role changes end under constant demand", 200, [] {
      PlanningInput input =
          zoneOf(*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 5), *rc::gen::inRange(1, 6));
      const DemandRate rate{static_cast<double>(*rc::gen::inRange(1, 100)),
                            static_cast<double>(*rc::gen::inRange(0, 150000)),
                            static_cast<double>(*rc::gen::inRange(0, 12000))};
      testing::setDemand(input, rate, rate);
      RolePlanner planner({});
      std::size_t changes = 0;
      for (Plan plan = planner.plan(input); !plan.changes.empty(); plan = planner.plan(input)) {
        for (PlannedEngine& engine : input.engines) {
          if (engine.name == plan.changes[0].engine) {
            engine.role = plan.changes[0].role;
          }
        }
        RC_ASSERT(++changes <= 2 * input.engines.size());
      }
    });
  }

  void pastSwingChangesNothing() {
    RolePlanner planner({});
    PlanningInput input = zoneOf(0, 2, 8);
    testing::setDemand(input, {20, 20000, 3000}, {20, 90000, 1500});
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
  }

  void longPromptsGetPrefillEngines() {
    RolePlanner planner({});
    PlanningInput input = longPromptZone(3, 1.0);
    // While one of three engines changes, the other two are saturated, which takes minutes to pay
    // off.
    input.policy.horizon = std::chrono::seconds(240);
    std::size_t changes = 0;
    for (Plan plan = planner.plan(input); !plan.changes.empty(); plan = planner.plan(input)) {
      for (PlannedEngine& engine : input.engines) {
        engine.role = engine.name == plan.changes[0].engine ? plan.changes[0].role : engine.role;
      }
      CPPUNIT_ASSERT(++changes <= 3U);
    }
    const auto prefill = std::count_if(
        input.engines.begin(), input.engines.end(),
        [](const PlannedEngine& engine) { return engine.role == EngineRole::kPrefill; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, prefill);
    input = longPromptZone(3, 1.0);
    input.policy.role_change_weight = 1e4;
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
  }

  void lowOrUncertainLongPromptLoadChangesNothing() {
    RolePlanner planner({});
    CPPUNIT_ASSERT(planner.plan(longPromptZone(3, 0.5)).changes.empty());
    // With fewer, longer prompts the same utilisation may be a random fluctuation.
    PlanningInput input = longPromptZone(3, 1.0);
    for (DemandRate* rate : {&input.demand["m"].short_window, &input.demand["m"].long_window}) {
      rate->long_requests_per_second /= 4;
    }
    CPPUNIT_ASSERT(planner.plan(input).changes.empty());
  }

  void separateRolesReduceQueueing() {
    const CapacityModel model({});
    const PlanningInput input = longPromptZone(3, 1.0);
    const ModelDemand& demand = input.demand.at("m");
    const auto lost = [&](const std::vector<EngineRole>& roles, const DemandRate& rate) {
      RoleCapacity capacity;
      for (const EngineRole role : roles) {
        model.add(capacity, engineOf(0, role), role, 1290);
      }
      return model.lostByQueueing(capacity, demand, rate);
    };
    const std::vector<EngineRole> mixed(3, EngineRole::kMixed);
    const std::vector<EngineRole> separate = {EngineRole::kPrefill, EngineRole::kPrefill,
                                              EngineRole::kDecode};
    const DemandRate& rate = demand.short_window;
    CPPUNIT_ASSERT(lost(separate, rate) < lost(mixed, rate) / 2);
    CPPUNIT_ASSERT(lost(mixed, rate) < rate.requests_per_second);
    CPPUNIT_ASSERT_EQUAL(0.0, lost(mixed, {20, 3000, 500}));
  }

  void utilisationScalesWithDemand() {
    const CapacityModel model({});
    RoleCapacity capacity;
    const PlannedEngine engine = engineOf(0, EngineRole::kMixed);
    const double speed = CapacityModel::decodeSpeed(engine, std::chrono::milliseconds(79));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(32 / 0.0248, speed, 1e-6);
    model.add(capacity, engine, EngineRole::kMixed, speed);
    const double half = model.utilisation(capacity, {1, 6400, 0});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, half, 1e-3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, model.utilisation(capacity, {1, 6400, speed / 2}), 1e-3);
    CPPUNIT_ASSERT(std::isinf(model.utilisation({}, {1, 1, 1})));
    CPPUNIT_ASSERT_EQUAL(0.0, model.lostShare(half));
    CPPUNIT_ASSERT(model.lostShare(2.0) > 0.5);
  }

  void baselinePlannersFollowTheirRules() {
    PlanningInput input = zoneOf(4, 0, 0);
    const DemandRate prompts{20, 60000, 100};
    testing::setDemand(input, prompts, prompts);
    CPPUNIT_ASSERT(AllMixedPlanner().plan(input).changes.empty());
    CPPUNIT_ASSERT(FixedRolesPlanner().plan(input).changes.empty());
    const Plan split = StaticSplitPlanner(0.5).plan(input);
    CPPUNIT_ASSERT(split.changes.at(0).role == EngineRole::kPrefill);
    const Plan threshold = ThresholdPlanner(CapacitySettings{}, 0.8).plan(input);
    CPPUNIT_ASSERT(threshold.changes.at(0).role == EngineRole::kPrefill);
  }

  void estimatorConvergesToSteadyRates() {
    const common::MonotonicTime start(std::chrono::seconds(100));
    DemandEstimator estimator({}, start);
    common::MonotonicTime now = start;
    for (int second = 0; second < 30; ++second) {
      now += std::chrono::seconds(1);
      estimator.add("m", DemandCount{10, 5000, 800, 0, 2, 4000}, now);
    }
    const ModelDemand demand = estimator.demand("m", now);
    for (const DemandRate& rate : {demand.short_window, demand.long_window}) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10, rate.requests_per_second, 0.6);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, rate.prefill_tokens_per_second, 300);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(800, rate.decode_tokens_per_second, 50);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(2, rate.long_requests_per_second, 0.15);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, rate.long_prefill_tokens_per_second, 250);
    }
    CPPUNIT_ASSERT(estimator.warm(now));
    CPPUNIT_ASSERT(!DemandEstimator({}, now).warm(now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolePlannerTest);

}  // namespace
}  // namespace cypresswall::planning
