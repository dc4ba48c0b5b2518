/// The same seed replays a run of a whole fleet exactly. Also measures and prints the simulation
/// speed for a fleet of Portavia's size.
#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <iostream>

#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::FaultAction;
using std::chrono::seconds;

constexpr int kRuns = 8;

RunBounds replayBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode, FaultAction::kReplaceNode, FaultAction::kPauseNode,
                    FaultAction::kCutZones, FaultAction::kStoreDown,   FaultAction::kCrashEngine,
                    FaultAction::kStopNode};
  return bounds;
}

/// \return the digest of all events of the run.
std::uint64_t digestOf(const GeneratedRun& run) {
  simulation::FleetSettings settings;
  settings.topology = run.topology;
  simulation::SimulatedFleet fleet(run.seed, settings);
  fleet.bringUp();
  planRequests(fleet, {});
  simulation::FaultInjector player(fleet);
  player.play(run.faults);
  fleet.time().runFor(seconds(30));
  player.endAll();
  fleet.time().runFor(seconds(10));
  RC_ASSERT(fleet.simulation().digest().events() > std::uint64_t{1000});
  return fleet.simulation().digest().value();
}

class ReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayTest);
  CPPUNIT_TEST(sameSeedGivesSameDigest);
  CPPUNIT_TEST(reportsSimulationSpeedAtPortaviaSize);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sameSeedGivesSameDigest() {
    requireProperty("the same seed replays a fleet", kRuns, [] {
      const GeneratedRun run = *runs(replayBounds());
      RC_ASSERT(digestOf(run) == digestOf(run));
    });
  }

  /// 4 zones of 3 nodes and 3 engines, one model request per second, for ten minutes.
  void reportsSimulationSpeedAtPortaviaSize() {
    constexpr common::Duration kSimulated = std::chrono::minutes(10);
    constexpr double kSecondsPerHour = 3600;
    constexpr double kSecondsPerMinute = 60;
    simulation::FleetSettings settings;
    settings.topology = {.zones = 4, .nodes_per_zone = 3, .engines_per_zone = 3};
    settings.network.encode_messages = false;
    simulation::SimulatedFleet fleet(kPropertySeed, settings);
    fleet.bringUp();
    planRequests(fleet, {.requests = 600, .within = kSimulated});
    const std::clock_t begin = std::clock();
    fleet.time().runFor(kSimulated);
    const double cpu = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const double simulated = common::toSeconds(kSimulated);
    const double hours_per_minute = (simulated / kSecondsPerHour) / (cpu / kSecondsPerMinute);
    std::cout << "\nspeed: " << simulated << " s simulated in " << cpu << " s of CPU time, "
              << simulated / cpu << " times real time, " << hours_per_minute
              << " simulated hours per CPU minute, " << fleet.time().executedEvents() << " events"
              << std::endl;
    RequestTally tally;
    tally.add(fleet);
    CPPUNIT_ASSERT(tally.done > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

}  // namespace
}  // namespace cypresswall::testing
