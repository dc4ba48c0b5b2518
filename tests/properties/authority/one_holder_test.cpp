/// INV-3 for the lease: at any point in true time at most one process of a zone considers itself
/// the holder of the zone's lease, even right after it resumes from a pause, and epochs only
/// increase. Liveness: after the faults each zone has one holder.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "tests/properties/authority/lease_history.h"
#include "tests/properties/support/generators.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 60;
constexpr common::Duration kFaultTime = seconds(30);
constexpr common::Duration kHeldAgainWithin = seconds(20);

RunBounds authorityBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode,   FaultAction::kReplaceNode,
                    FaultAction::kPauseNode,  FaultAction::kPauseNode,
                    FaultAction::kCutOffNode, FaultAction::kCutPlatform,
                    FaultAction::kStoreDown,  FaultAction::kLoseStoreAnswers};
  bounds.maximum_zones = 1;
  bounds.maximum_nodes = 5;
  bounds.maximum_engines = 1;
  bounds.maximum_faults = 10;
  return bounds;
}

simulation::FleetSettings lossyFleet(const GeneratedRun& run) {
  simulation::FleetSettings settings;
  settings.topology = run.topology;
  settings.network.inside_zone.loss = 0.02;
  settings.network.inside_zone.duplication = 0.02;
  settings.network.inside_zone.reordering = 0.05;
  settings.maximum_drift_ppm = 5000;
  return settings;
}

class OneHolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OneHolderTest);
  CPPUNIT_TEST(atMostOneHolderAtAnyTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void atMostOneHolderAtAnyTime() {
    simulation::FaultCounters faults;
    std::vector<common::Duration> gaps;
    std::uint64_t changes = 0;
    requireProperty("INV-3 one holder", kRuns, [&] {
      const GeneratedRun run = *runs(authorityBounds());
      simulation::SimulatedFleet fleet(run.seed, lossyFleet(run));
      fleet.bringUp();
      LeaseHistory history(fleet);
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kFaultTime);
      player.endAll();
      const bool held =
          fleet.time().runUntilTrue([&] { return history.everyZoneHasHolder(); }, kHeldAgainWithin);
      RC_ASSERT(held);
      fleet.time().runFor(seconds(5));
      for (const std::string& violation : history.violations()) {
        RC_FAIL(violation);
      }
      RC_ASSERT(history.everyZoneHasHolder());
      faults.merge(fleet.faults());
      faults.add(FaultKind::kLeaseExpired, history.holderChanges());
      changes += history.holderChanges();
      gaps.insert(gaps.end(), history.gaps().begin(), history.gaps().end());
    });
    std::sort(gaps.begin(), gaps.end());
    std::cout << "\nINV-3 lease: " << changes << " changes of holder; faults: " << faults.summary()
              << std::endl;
    if (!gaps.empty()) {
      std::cout << "time without a holder: median " << common::toSeconds(gaps[gaps.size() / 2])
                << " s, longest " << common::toSeconds(gaps.back()) << " s" << std::endl;
    }
    CPPUNIT_ASSERT(changes > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kCutInsideZone) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStoreOutage) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OneHolderTest);

}  // namespace
}  // namespace cypresswall::testing
