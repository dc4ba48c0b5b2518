/// INV-4, INV-5 and INV-6 while nodes lose their links to all engines and back ends, so that other
/// nodes execute their callers' requests; with kills, pauses, planned stops and cuts between nodes
/// at the same time.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "cypresswall/simulation/fleet/fault_schedule.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"
#include "tests/properties/support/bookings.h"
#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::CallerRecord;
using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::seconds;

constexpr int kRuns = 30;
/// If set: number of runs in place of kRuns, for long runs by hand.
constexpr const char* kRunsVariable = "CYPRESSWALL_LOST_LINKS_RUNS";
constexpr common::Duration kLoadDuration = seconds(20);
/// Time after the last fault in which every request must end.
constexpr common::Duration kSettlingTime = seconds(60);
/// Requests that nodes must have executed for others, over all runs.
constexpr double kLeastForwarded = 100;

int wantedRuns() {
  const char* const text = std::getenv(kRunsVariable);
  return text == nullptr ? kRuns : std::atoi(text);
}

RunBounds lostLinkBounds() {
  RunBounds bounds;
  bounds.actions = {
      FaultAction::kCutServers,  FaultAction::kCutServers,       FaultAction::kCutServers,
      FaultAction::kKillNode,    FaultAction::kPauseNode,        FaultAction::kStopNode,
      FaultAction::kCutOffNode,  FaultAction::kCrashEngine,      FaultAction::kBreakStream,
      FaultAction::kReplaceNode, FaultAction::kServiceBreakAfter};
  bounds.maximum_zones = 1;
  bounds.minimum_nodes = 3;
  bounds.maximum_nodes = 6;
  bounds.minimum_engines = 2;
  bounds.maximum_engines = 6;
  bounds.maximum_faults = 14;
  return bounds;
}

double forwardedIn(const simulation::SimulatedFleet& fleet) {
  double count = 0;
  for (std::size_t node = 0; node < fleet.nodeCount(); ++node) {
    if (fleet.running(node)) {
      count += fleet.slot(node).process->counters().total("cypresswall_forwarding_served_total");
    }
  }
  return count;
}

class LostLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostLinksTest);
  CPPUNIT_TEST(eachCallerGetsItsOwnWholeAnswer);
  CPPUNIT_TEST(bookingsRunAtMostOnceAndNotRunIsCorrect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eachCallerGetsItsOwnWholeAnswer() {
    RequestTally tally;
    double forwarded = 0;
    requireProperty("INV-4 whole answers, links lost", wantedRuns(), [&] {
      const GeneratedRun run = *runs(lostLinkBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.requests = 200, .within = kLoadDuration});
      play(fleet, run);
      RC_ASSERT(fleet.openRequests() == 0U);
      for (const CallerRecord& record : fleet.records()) {
        requireOwnAnswer(record);
      }
      tally.add(fleet);
      forwarded += forwardedIn(fleet);
    });
    std::cout << "\nINV-4, links lost: " << tally.summary() << "; forwarded " << forwarded
              << std::endl;
    CPPUNIT_ASSERT(tally.done > tally.errors + tally.broken);
    CPPUNIT_ASSERT(forwarded >= kLeastForwarded);
  }

  void bookingsRunAtMostOnceAndNotRunIsCorrect() {
    RequestTally tally;
    double forwarded = 0;
    requireProperty("INV-5 and INV-6, links lost", wantedRuns(), [&] {
      const GeneratedRun run = *runs(lostLinkBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      settings.topology.backends_per_zone = 3;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      fleet.services().faults.answer_lost = 0.05;
      fleet.services().faults.answer_lost_kind = FaultKind::kServiceBrokenAfter;
      BookingWorkload workload;
      workload.keys = 80;
      workload.bookings_without_key = 100;
      workload.repeatable_calls = 60;
      planBookings(fleet, workload);
      play(fleet, run);
      RC_ASSERT(fleet.openRequests() == 0U);
      requireAtMostOnce(fleet, fleet.services());
      tally.add(fleet);
      forwarded += forwardedIn(fleet);
    });
    std::cout << "\nINV-5 and INV-6, links lost: " << tally.summary() << "; forwarded " << forwarded
              << std::endl;
    CPPUNIT_ASSERT(tally.done > 0);
    CPPUNIT_ASSERT(forwarded >= kLeastForwarded);
  }

 private:
  static void play(simulation::SimulatedFleet& fleet, const GeneratedRun& run) {
    simulation::FaultInjector player(fleet);
    player.play(run.faults);
    fleet.time().runFor(kLoadDuration + seconds(10));
    player.endAll();
    fleet.time().runFor(kSettlingTime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostLinksTest);

}  // namespace
}  // namespace cypresswall::testing
