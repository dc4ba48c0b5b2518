/// Each arrival of a request at an engine after the first one is charged to the retry budget.
///
/// Guards against charging per attempt: if the decode engine refused a request, the retry arrived
/// at two engines, one that recomputed the prompt and one that generated the output, but only one
/// retry was charged.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/execution/model_executor_fixture.h"

namespace cypresswall::fleet_limits {
namespace {

using testing::RecordingObserver;
using World = testing::ModelExecutorFixture;
using Kind = testing::StreamScript::Kind;

constexpr auto kLongRun = std::chrono::minutes(5);

class RetryArrivalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryArrivalsTest);
  CPPUNIT_TEST(recomputedPromptIsCharged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void recomputedPromptIsCharged() {
    execution::ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    RetryLimitSettings limits;
    limits.fleet_burst = 1;
    limits.fleet_share = 0;
    World world(settings, limits);
    world.router.prefill_name = "prefill-1";
    world.engines.scripts = {{Kind::kGood, 0}, {Kind::kRefused, 0}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    // The first prefill and the first decode arrival are free; one retry is covered by the burst.
    CPPUNIT_ASSERT(world.engines.started.size() <= 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryArrivalsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
