/// INV-8: a planned stop of any node cuts no request, even with the store down or several nodes
/// stopping at the same time.
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
using std::chrono::seconds;

constexpr int kRuns = 60;
constexpr std::uint32_t kBookings = 40;
constexpr common::Duration kLoadDuration = seconds(20);

RunBounds stoppingBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kStopNode, FaultAction::kStopNode, FaultAction::kStoreDown,
                    FaultAction::kCutZones};
  bounds.maximum_zones = 2;
  return bounds;
}

void planBookings(simulation::SimulatedFleet& fleet) {
  auto& random = fleet.simulation().random();
  for (std::uint32_t number = 0; number < kBookings; ++number) {
    const auto at = common::Duration(random.below(kLoadDuration.count()));
    fleet.time().schedule(
        at, [&fleet] { fleet.book(fleet.simulation().random().below(fleet.nodeCount()), ""); });
  }
}

/// Requires that a request either has its complete answer or was refused as not run.
void requireCompleteOrNotRun(const CallerRecord& record) {
  RC_LOG() << record.request_id << " at " << record.node.toString() << ": result "
           << static_cast<int>(record.result) << ", " << toString(record.error.outcome) << ", "
           << record.error.message << '\n';
  RC_ASSERT(record.result != CallerResult::kBroken);
  RC_ASSERT(record.result != CallerResult::kOpen);
  RC_ASSERT(record.result != CallerResult::kError ||
            record.error.outcome == execution::Outcome::kNotRun);
}

class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(plannedStopCutsNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void plannedStopCutsNoRequest() {
    simulation::FaultCounters faults;
    RequestTally tally;
    requireProperty("INV-8 planned stop", kRuns, [&] {
      const GeneratedRun run = *runs(stoppingBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      settings.service_answer_time = std::chrono::milliseconds(300);
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.within = kLoadDuration});
      planBookings(fleet);
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(seconds(30));
      for (const CallerRecord& record : fleet.records()) {
        requireCompleteOrNotRun(record);
      }
      faults.merge(fleet.faults());
      tally.add(fleet);
    });
    std::cout << "\nINV-8: " << tally.summary() << "; faults: " << faults.summary() << std::endl;
    CPPUNIT_ASSERT(tally.done > tally.errors + tally.not_connected);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPlannedStop) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStoreOutage) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace
}  // namespace cypresswall::testing
