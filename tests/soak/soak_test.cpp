/// Replays soak rounds that failed before, and tests the fault plan.
#include <algorithm>
#include <fstream>
#include <sstream>
#include <vector>

#include "tests/soak/soak_round.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

class SoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTest);
  CPPUNIT_TEST(sameSeedGivesSamePlan);
  CPPUNIT_TEST(plansOfFewerKindsStay);
  CPPUNIT_TEST(everyKindIsPlanned);
  CPPUNIT_TEST(regressionSeedsPass);
  CPPUNIT_TEST(allNodesEndAndPartsOfPromptsCrash);
  CPPUNIT_TEST(responsesAreDamagedWhileNodesEnd);
  CPPUNIT_TEST(nodesAreReplacedAndPowerIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sameSeedGivesSamePlan() {
    const auto plan = [](std::uint64_t seed) { return describe(planFaults(seed, 8, 3, 4)); };
    CPPUNIT_ASSERT_EQUAL(plan(7), plan(7));
    CPPUNIT_ASSERT(plan(7) != plan(8));
  }

  /// Guards against seeds that no longer give the plan in which they failed.
  void plansOfFewerKindsStay() {
    CPPUNIT_ASSERT_EQUAL(std::string("node-stopped/2/317ms part-crashes/2/899ms"),
                         describe(planFaults(3101954744, 2, 3, 4, kKindsWithDamagedResponses, 2)));
  }

  void everyKindIsPlanned() {
    std::array<int, kFaultKinds> planned{};
    std::array<int, 7> damaged{};
    for (const PlannedFault& fault : planFaults(1, 800, 3, 4, kFaultKinds, 2)) {
      ++planned[static_cast<std::size_t>(fault.kind)];
      if (damagesResponses(fault.kind)) {
        ++damaged.at(fault.target);
      } else {
        CPPUNIT_ASSERT(fault.target < 4);
      }
    }
    CPPUNIT_ASSERT(std::find(damaged.begin(), damaged.end(), 0) == damaged.end());
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
      CPPUNIT_ASSERT_MESSAGE(kFaultNames[kind], planned[kind] > 0);
    }
  }

  /// All nodes end at once, the service's address is given to another one, and a part of prompts
  /// crashes engines, first, second and third.
  void allNodesEndAndPartsOfPromptsCrash() {
    constexpr std::chrono::milliseconds kTime{500};
    const std::vector<PlannedFault> plan = {
        {FaultKind::kServiceReplaced, 0, kTime, kTime}, {FaultKind::kPartCrashes, 0, kTime, kTime},
        {FaultKind::kPartCrashes, 1, kTime, kTime},     {FaultKind::kPartCrashes, 2, kTime, kTime},
        {FaultKind::kAllNodesKilled, 0, kTime, kTime},
    };
    requireNoViolation("", plan);
  }

  /// Responses of the store, an engine and both back ends stop early, declare two lengths or none,
  /// come twice or never end, also while a node is killed, paused or stopped.
  void responsesAreDamagedWhileNodesEnd() {
    constexpr std::chrono::milliseconds kTime{500};
    constexpr std::size_t kEngine = 1;
    constexpr std::size_t kBackEnd = 1 + SoakRound::kEngines;
    const std::vector<PlannedFault> plan = {
        {FaultKind::kResponsesStop, kBackEnd, kTime, kTime, true, 1},
        {FaultKind::kNodeKilled, 0, kTime, kTime},
        {FaultKind::kResponsesTwoLengths, kBackEnd + 1, kTime, kTime, false, 2},
        {FaultKind::kResponsesReset, kBackEnd, kTime, kTime, true, 3},
        {FaultKind::kNodeStopped, 1, kTime, kTime},
        {FaultKind::kResponsesWithoutLength, kBackEnd, kTime, kTime, false, 4},
        {FaultKind::kResponsesStop, 0, kTime, kTime, true, 5},
        {FaultKind::kNodePaused, 2, kTime, kTime},
        {FaultKind::kResponsesTwice, kEngine, kTime, kTime, false, 6},
        {FaultKind::kResponsesEndless, kBackEnd + 1, kTime, kTime, false, 7},
    };
    requireNoViolation("", plan);
  }

  /// Nodes are stopped in turn under kept connections, with signals and changes beside; then all
  /// machines lose power, and the store is back after the nodes.
  void nodesAreReplacedAndPowerIsLost() {
    constexpr std::chrono::milliseconds kTime{600};
    const std::vector<PlannedFault> plan = {
        {FaultKind::kNodesReplaced, 1, kTime, kTime},
        {FaultKind::kPowerLost, 0, kTime, kTime},
    };
    requireNoViolation("", plan);
  }

  /// Each line of regressions.txt has a seed, the number of faults, the number of kinds that they
  /// are drawn from, and the cause of the failure.
  void regressionSeedsPass() {
    std::ifstream file(CYPRESSWALL_SOAK_REGRESSIONS);
    CPPUNIT_ASSERT(file.good());
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::uint64_t seed = 0;
      std::size_t faults = 0;
      std::size_t kinds = 0;
      if (line.empty() || line[0] == '#' || !(words >> seed >> faults >> kinds)) {
        continue;
      }
      requireNoViolation(line, planFaults(seed, faults, SoakRound::kNodes, SoakRound::kEngines,
                                          kinds, SoakRound::kBackEnds));
    }
  }

 private:
  static void requireNoViolation(const std::string& message,
                                 const std::vector<PlannedFault>& plan) {
    const auto result = SoakRound(plan).run();
    const std::string first = result.violations.empty() ? "" : result.violations.front();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace
}  // namespace cypresswall::testing
