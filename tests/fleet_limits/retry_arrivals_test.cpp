/// Whatever arrives at an engine beyond the first arrival of a request is paid for.
///
/// Seen: requests whose output was refused by the engine that should give it arrived twice more, at
/// one that computed the prompt again and at one that gave the output, and paid for one repeat.
/// Cause: a repeat was paid for by attempt, not by arrival.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/execution/model_world.h"

namespace cypresswall::fleet_limits {
namespace {

using testing::RecordingObserver;
using World = testing::ModelWorld;
using Kind = testing::StreamScript::Kind;

constexpr auto kLongRun = std::chrono::minutes(5);

class ArrivalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalsTest);
  CPPUNIT_TEST(promptComputedAgainIsPaidFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void promptComputedAgainIsPaidFor() {
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
    // One prompt and one output go without pay; one repeat is paid for.
    CPPUNIT_ASSERT(world.engines.started.size() <= 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
