/// INV-7: an engine on a leaving machine gets no new work from 3 s after the machine list shows the
/// machine as leaving.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>

#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 60;
constexpr common::Duration kLoadDuration = seconds(25);
constexpr common::Duration kLeavingGracePeriod = seconds(3);

RunBounds leavingBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode, FaultAction::kPauseNode, FaultAction::kCutOffNode,
                    FaultAction::kStoreSlow};
  bounds.maximum_zones = 2;
  bounds.minimum_engines = 2;
  return bounds;
}

/// Engine machines that leave during a run, and the times at which the machine list shows it.
class LeavingEngines {
 public:
  LeavingEngines(simulation::SimulatedFleet& fleet, common::Duration list_lag)
      : fleet_(fleet), list_lag_(list_lag) {}

  /// Schedules all engines of each zone except the first to leave at random times.
  void plan() {
    const auto& topology = fleet_.settings().topology;
    for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
      for (std::uint32_t engine = 1; engine < topology.engines_per_zone; ++engine) {
        const auto at = common::Duration(fleet_.simulation().random().below(kLoadDuration.count()));
        fleet_.time().schedule(at, [this, zone, engine] { leave(zone, engine); });
      }
    }
  }

  /// \return the number of streams started on a leaving engine after the limit.
  std::uint64_t lateStreams() const {
    std::uint64_t late = 0;
    for (const auto& [address, shown_at] : shown_at_) {
      for (const auto& stream : fleet_.engines().find(address)->ledger().streams) {
        if (stream.started_at > shown_at + kLeavingGracePeriod) {
          RC_LOG() << address << " shown as leaving at "
                   << common::toSeconds(shown_at.time_since_epoch()) << " s got "
                   << stream.stream_id << " at "
                   << common::toSeconds(stream.started_at.time_since_epoch()) << " s\n";
          ++late;
        }
      }
    }
    return late;
  }

 private:
  void leave(std::uint32_t zone, std::uint32_t engine) {
    fleet_.platform().setMachineState(simulation::engineMachine(zone, engine),
                                      object_store::MachineState::kLeaving);
    shown_at_[simulation::engineAddress(zone, engine)] = fleet_.time().now() + list_lag_;
  }

  simulation::SimulatedFleet& fleet_;
  common::Duration list_lag_;
  std::map<common::Address, common::MonotonicTime> shown_at_;
};

class LeavingMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingMachineTest);
  CPPUNIT_TEST(leavingEnginesGetNoNewWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leavingEnginesGetNoNewWork() {
    simulation::FaultCounters faults;
    RequestTally tally;
    requireProperty("INV-7 leaving engines", kRuns, [&] {
      const GeneratedRun run = *runs(leavingBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.requests = 150, .within = kLoadDuration + seconds(10)});
      LeavingEngines leaving(fleet, simulation::PlatformSettings{}.machine_list_lag);
      leaving.plan();
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(seconds(20));
      RC_ASSERT(leaving.lateStreams() == 0U);
      faults.merge(fleet.faults());
      tally.add(fleet);
    });
    std::cout << "\nINV-7: " << tally.summary() << "; faults: " << faults.summary() << std::endl;
    CPPUNIT_ASSERT(tally.done > tally.errors + tally.broken);
    CPPUNIT_ASSERT(faults.count(FaultKind::kMachineLeaving) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingMachineTest);

}  // namespace
}  // namespace cypresswall::testing
