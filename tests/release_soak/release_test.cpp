/// Guards against answers of two software builds: a node that stood still or was cut off while
/// engines of a second build joined took up answers that these had begun, and went on at the first
/// build. Also guards against a fleet that doesn't come back from a loss of power.
#include "tests/release_soak/release_round.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using std::chrono::milliseconds;

class ReleaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseTest);
  CPPUNIT_TEST(sameSeedGivesSamePlan);
  CPPUNIT_TEST(secondBuildJoinsWhileANodeIsFrozen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sameSeedGivesSamePlan() {
    const auto plan = [](std::uint64_t seed) {
      return describe(planRelease(seed, ReleaseRound::kNodes));
    };
    CPPUNIT_ASSERT_EQUAL(plan(7), plan(7));
    CPPUNIT_ASSERT(plan(7) != plan(8));
  }

  void secondBuildJoinsWhileANodeIsFrozen() {
    ReleasePlan plan;
    plan.kind = OutOfStep::kFrozen;
    plan.until_joined = milliseconds(200);
    plan.joining = 3;
    plan.until_in_step = milliseconds(3000);
    plan.store_back_after = milliseconds(2000);
    const ReleaseResult result = ReleaseRound(plan).run();
    CPPUNIT_ASSERT(result.taken_up > 0);
    CPPUNIT_ASSERT(result.whole > 0);
    CPPUNIT_ASSERT_MESSAGE("no answer was taken up at the node that was out of step",
                           result.out_of_step > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), result.violations.empty() ? "" : result.violations.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseTest);

}  // namespace
}  // namespace cypresswall::testing
