#include "bench/simulate/scenario.h"

#include <string>

#include "bench/simulate/offline_planner.h"
#include "bench/simulate/scenario_run.h"
#include "tests/support/property.h"

namespace cypresswall::bench {
namespace {

constexpr const char* kSmall = R"(name: small
duration: 20
warm_up: 0
fleet: {zones: 1, nodes_per_zone: 1, engines_per_zone: 2}
kinds:
  - {name: short, prompt_tokens: [20, 40], output_tokens: [4, 8]}
load:
  - {at: 0, short: 0}
  - {at: 10, short: 20}
faults:
  - {at: 5, engine_crash: 1}
)";

class ScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioTest);
  CPPUNIT_TEST(readsEveryShippedScenario);
  CPPUNIT_TEST(ratesAreInterpolatedLinearly);
  CPPUNIT_TEST(errorsNameFileLineAndKey);
  CPPUNIT_TEST(sameSeedGivesSameResult);
  CPPUNIT_TEST(timelineAddsUp);
  CPPUNIT_TEST(baselineRoutersServe);
  CPPUNIT_TEST(scheduleFollowsTheTrace);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsEveryShippedScenario() {
    for (const char* name :
         {"portavia-ship-berths", "hinokuni-blood-drive", "steady", "overload", "daily-drift",
          "bursts-of-two", "engine-loss-in-a-swing", "store-down-in-a-swing", "lagged-and-gappy"}) {
      const Scenario scenario =
          loadScenario(std::string(CYPRESSWALL_SCENARIOS) + "/" + name + ".yaml");
      CPPUNIT_ASSERT_EQUAL(std::string(name), scenario.name);
    }
  }

  void ratesAreInterpolatedLinearly() {
    const Scenario scenario = parseScenario(kSmall, "small.yaml");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, scenario.rateAt("short", std::chrono::seconds(0)), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, scenario.rateAt("short", std::chrono::seconds(5)), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, scenario.rateAt("short", std::chrono::seconds(99)), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, scenario.peakRate("short"), 1e-9);
  }

  void errorsNameFileLineAndKey() {
    requireError("duration: 20", "duration: -1", "small.yaml:2: duration: must be at least 0");
    requireError("warm_up: 0", "warm_upp: 0", "small.yaml:3: warm_upp: is not a known key");
    requireError("zones: 1", "zones: 1.5", "small.yaml:4: fleet.zones: must be a whole number");
    requireError("[20, 40]", "[40, 20]",
                 "small.yaml:6: kinds[0].prompt_tokens: must be at least 40");
    requireError("[20, 40]", "[90000, 90000]",
                 "small.yaml:6: kinds[0].prompt_tokens: no engine computes the shortest prompt "
                 "within the limit");
    requireError("at: 10", "at: 0",
                 "small.yaml:9: load[1].at: must be later than the point before");
  }

  void sameSeedGivesSameResult() {
    const Scenario scenario = parseScenario(kSmall, "small.yaml");
    const RolePolicy policy{"mixed", PlannerKind::kFixed, 0, 0};
    const RunOutcome first = runScenario(scenario, policy, 7);
    const RunOutcome again = runScenario(scenario, policy, 7);
    const RunOutcome other = runScenario(scenario, policy, 8);
    CPPUNIT_ASSERT(first.total().asked > 100);
    CPPUNIT_ASSERT(first.total().in_time > first.total().asked * 9 / 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.engines.crashes);
    CPPUNIT_ASSERT_EQUAL(first.total().in_time, again.total().in_time);
    CPPUNIT_ASSERT_EQUAL(first.engines.tokens, again.engines.tokens);
    CPPUNIT_ASSERT(first.engines.tokens != other.engines.tokens);
  }

  void timelineAddsUp() {
    const Scenario scenario = parseScenario(kSmall, "small.yaml");
    const RunOutcome run = runScenario(scenario, {"mixed", PlannerKind::kFixed, 0, 0}, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.timeline.size());
    CPPUNIT_ASSERT_EQUAL(run.total().in_time, run.timeline[0].at("short").in_time);
    CPPUNIT_ASSERT(run.total().late_first_token <= run.total().late);
  }

  void baselineRoutersServe() {
    const Scenario scenario = parseScenario(kSmall, "small.yaml");
    for (const RouterKind router : {RouterKind::kRoundRobin, RouterKind::kLeastLoaded}) {
      const RunOutcome run =
          runScenario(scenario, {"baseline", PlannerKind::kFixed, 0, 0, router}, 7);
      CPPUNIT_ASSERT(run.total().in_time > run.total().asked / 2);
    }
  }

  void scheduleFollowsTheTrace() {
    Scenario scenario = parseScenario(kSmall, "small.yaml");
    scenario.planning.role_change_weight = 1;
    const auto traced = [](RoleCounts roles, std::uint64_t first, std::uint64_t second) {
      EvaluatedAssignment result{roles, {}};
      for (const std::uint64_t in_time : {first, second}) {
        KindOutcome kind;
        kind.asked = 100;
        kind.in_time = in_time;
        result.run.timeline.push_back({{"short", kind}});
      }
      return result;
    };
    // Changing one engine costs about six answers: it pays in the second period but not in the
    // first.
    const auto schedule = bestSchedule(scenario, {traced({0, 0}, 99, 50), traced({1, 0}, 98, 90)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, schedule.size());
    CPPUNIT_ASSERT(schedule[0].at == std::chrono::seconds(54));
    CPPUNIT_ASSERT_EQUAL(1U, schedule[0].roles.prefill);
    CPPUNIT_ASSERT(
        bestSchedule(scenario, {traced({0, 0}, 99, 88), traced({1, 0}, 98, 90)}).empty());
    scenario.planning.role_change_weight = 100;
    CPPUNIT_ASSERT(
        bestSchedule(scenario, {traced({0, 0}, 99, 50), traced({1, 0}, 98, 90)}).empty());
  }

 private:
  /// Requires the expected error after `from` is replaced by `to` in the small scenario.
  static void requireError(const std::string& from, const std::string& to,
                           const std::string& message) {
    std::string text = kSmall;
    text.replace(text.find(from), from.size(), to);
    try {
      parseScenario(text, "small.yaml");
      CPPUNIT_FAIL("accepted: " + to);
    } catch (const ScenarioError& error) {
      CPPUNIT_ASSERT_EQUAL(message, std::string(error.what()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

}  // namespace
}  // namespace cypresswall::bench
