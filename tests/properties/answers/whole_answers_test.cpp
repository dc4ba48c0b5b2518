/// INV-4: each caller gets the complete answer to its own request and to no other. INV-10: a
/// refused request gets its final answer immediately, with a Retry-After.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 40;
constexpr common::Duration kLoadDuration = seconds(20);
/// Time after the last fault in which every request must end.
constexpr common::Duration kSettlingTime = seconds(60);

RunBounds answerBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode,    FaultAction::kPauseNode,   FaultAction::kCutOffNode,
                    FaultAction::kCrashEngine, FaultAction::kBreakStream, FaultAction::kCutZones};
  bounds.maximum_zones = 2;
  return bounds;
}

/// INV-10: a refusal arrives immediately and has a Retry-After.
void requireRetryAfter(const CallerRecord& record) {
  using execution::ErrorKind;
  const bool for_load =
      record.result == CallerResult::kError &&
      (record.error.kind == ErrorKind::kOverloaded ||
       record.error.kind == ErrorKind::kTenantLimit || record.error.kind == ErrorKind::kDraining);
  RC_ASSERT(!for_load || record.error.retry_after > common::Duration{0});
}

class WholeAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholeAnswersTest);
  CPPUNIT_TEST(eachCallerGetsItsOwnWholeAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eachCallerGetsItsOwnWholeAnswer() {
    simulation::FaultCounters faults;
    RequestTally tally;
    requireProperty("INV-4 whole answers", kRuns, [&] {
      const GeneratedRun run = *runs(answerBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.within = kLoadDuration});
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(kSettlingTime);
      RC_ASSERT(fleet.openRequests() == 0U);
      for (const CallerRecord& record : fleet.records()) {
        requireOwnAnswer(record);
        requireRetryAfter(record);
      }
      tally.add(fleet);
      faults.merge(fleet.faults());
    });
    std::cout << "\nINV-4: " << tally.summary() << "; faults: " << faults.summary() << std::endl;
    CPPUNIT_ASSERT(tally.done > tally.errors + tally.broken);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kEngineCrash) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStreamBroken) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholeAnswersTest);

}  // namespace
}  // namespace cypresswall::testing
