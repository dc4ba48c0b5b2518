/// Replays soak rounds that failed before, and tests the fault plan.
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
  CPPUNIT_TEST(everyKindIsPlanned);
  CPPUNIT_TEST(regressionSeedsPass);
  CPPUNIT_TEST(allNodesEndAndPartsOfPromptsCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sameSeedGivesSamePlan() {
    const auto plan = [](std::uint64_t seed) { return describe(planFaults(seed, 8, 3, 4)); };
    CPPUNIT_ASSERT_EQUAL(plan(7), plan(7));
    CPPUNIT_ASSERT(plan(7) != plan(8));
  }

  void everyKindIsPlanned() {
    std::array<int, kFaultKinds> planned{};
    for (const PlannedFault& fault : planFaults(1, 400, 3, 4, kFaultKinds)) {
      ++planned[static_cast<std::size_t>(fault.kind)];
      CPPUNIT_ASSERT(fault.target < 4);
    }
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
    const auto result = SoakRound(plan).run();
    const std::string first = result.violations.empty() ? "" : result.violations.front();
    CPPUNIT_ASSERT_EQUAL(std::string(), first);
  }

  /// Each line of regressions.txt has a seed, the number of faults, and the cause of the failure.
  void regressionSeedsPass() {
    std::ifstream file(CYPRESSWALL_SOAK_REGRESSIONS);
    CPPUNIT_ASSERT(file.good());
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::uint64_t seed = 0;
      std::size_t faults = 0;
      if (line.empty() || line[0] == '#' || !(words >> seed >> faults)) {
        continue;
      }
      const auto result =
          SoakRound(planFaults(seed, faults, SoakRound::kNodes, SoakRound::kEngines)).run();
      const std::string first = result.violations.empty() ? "" : result.violations.front();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::string(), first);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace
}  // namespace cypresswall::testing
