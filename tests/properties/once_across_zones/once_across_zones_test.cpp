/// INV-6 across zones: a retry with the same idempotency key at a node of another zone must not run
/// the request twice, even during partitions between zones, the loss of lease holders and changes
/// of the declared zones.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "cypresswall/configuration/object_codec.h"
#include "tests/properties/support/bookings.h"
#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::seconds;

constexpr int kRuns = 10;
constexpr int kFaultRuns = 40;
constexpr int kZoneChangeRuns = 20;
constexpr std::uint32_t kZones = 2;
constexpr std::uint32_t kNodesPerZone = 3;

RunBounds acrossZonesBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode,          FaultAction::kReplaceNode,
                    FaultAction::kPauseNode,         FaultAction::kCutOffNode,
                    FaultAction::kCutZones,          FaultAction::kCutOneWay,
                    FaultAction::kServiceBreakAfter, FaultAction::kStoreDown};
  bounds.minimum_zones = 2;
  bounds.maximum_zones = 3;
  bounds.minimum_engines = 1;
  bounds.maximum_engines = 1;
  bounds.maximum_faults = 12;
  return bounds;
}

/// Schedules kills and pauses of the lease holders of random zones.
void planHolderFaults(simulation::SimulatedFleet& fleet, std::uint32_t number,
                      common::Duration within) {
  auto& random = fleet.simulation().random();
  for (std::uint32_t fault = 0; fault < number; ++fault) {
    const auto zone = random.below(fleet.settings().topology.zones);
    const bool kill = random.below(2) == 0;
    fleet.time().schedule(common::Duration(random.below(within.count())), [&fleet, zone, kill] {
      for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
        const simulation::NodeSlot& slot = fleet.slot(index);
        if (slot.zone != zone || slot.node == nullptr || !slot.node->authority().heldEpoch()) {
          continue;
        }
        if (kill) {
          fleet.killNode(index);
          fleet.time().schedule(seconds(4), [&fleet, index] { fleet.startNode(index); });
        } else {
          fleet.pauseNode(index, seconds(4));
        }
        return;
      }
    });
  }
}

/// Submits a change at node 0 with late delivery, so that it does not need an answer of every zone.
void change(simulation::SimulatedFleet& fleet, std::vector<configuration::ObjectChange> objects,
            std::uint64_t& accepted) {
  configuration::ConfigurationChangeRequest request;
  request.objects = std::move(objects);
  request.change_id = "change-" + std::to_string(fleet.simulation().random().next());
  request.author = "operator";
  request.late_delivery = true;
  fleet.submit(0, std::move(request), [&accepted](const configuration::CommitResult& result) {
    accepted += result.status == configuration::CommitStatus::kAccepted ? 1 : 0;
  });
}

/// \return changes that remove the engines and back ends of `zone`, so that the zone itself can be
///   removed; its nodes stay.
std::vector<configuration::ObjectChange> removalsOfZoneWorkloads(
    const configuration::FleetConfiguration& fleet, const common::ZoneName& zone) {
  using configuration::ObjectKind;
  std::vector<configuration::ObjectChange> objects;
  for (const auto& [name, engine] : fleet.engines) {
    if (engine.zone == zone) {
      objects.push_back(configuration::removeObject(ObjectKind::kEngine, name));
    }
  }
  for (auto [name, service] : fleet.http_services) {
    std::erase_if(service.backends, [&](const auto& backend) { return backend.zone == zone; });
    objects.push_back(configuration::setObject(ObjectKind::kHttpService, name, service));
  }
  return objects;
}

std::uint64_t counted(const simulation::SimulatedFleet& fleet, const std::string& counter) {
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
    if (fleet.running(index)) {
      sum += static_cast<std::uint64_t>(fleet.slot(index).process->counters().total(counter));
    }
  }
  return sum;
}

/// Requires that after the faults every zone's keys can be claimed from every node, except that
/// keys of a zone that lost its quorum permanently stay uncertain until their retention has passed.
/// \return the number of requests that were done
std::uint64_t requireKeysClaimable(simulation::SimulatedFleet& fleet) {
  std::vector<const simulation::CallerRecord*> asked;
  for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
    asked.push_back(&fleet.book(index, "afterwards-" + std::to_string(index)));
  }
  fleet.time().runFor(seconds(10));
  std::uint64_t done = 0;
  for (const simulation::CallerRecord* record : asked) {
    RC_LOG() << record->key << ": result " << static_cast<int>(record->result) << ", "
             << record->error.message << '\n';
    const bool ran = record->result == simulation::CallerResult::kDone;
    RC_ASSERT(ran || record->error.outcome == execution::Outcome::kUnknown);
    RC_ASSERT(ran || record->error.retry_after > seconds(60));
    done += ran ? 1 : 0;
  }
  return done;
}

class AtMostOnceAcrossZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceAcrossZonesTest);
  CPPUNIT_TEST(keyAskedInTwoZonesRunsAtMostOnce);
  CPPUNIT_TEST(keysRunAtMostOnceThroughFaults);
  CPPUNIT_TEST(keysRunAtMostOnceThroughChangesOfTheZones);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keyAskedInTwoZonesRunsAtMostOnce() {
    requireProperty("INV-6 across zones", kRuns, [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      simulation::FleetSettings settings;
      settings.topology.zones = kZones;
      settings.topology.nodes_per_zone = kNodesPerZone;
      settings.topology.backends_per_zone = 1;
      simulation::SimulatedFleet fleet(seed, settings);
      fleet.bringUp();
      fleet.book(0, "slot");
      fleet.time().runFor(seconds(2));
      fleet.book(kNodesPerZone, "slot");
      fleet.time().runFor(seconds(10));
      RC_ASSERT(fleet.services().executionsOfKey("slot") <= 1U);
    });
  }

  void keysRunAtMostOnceThroughFaults() {
    simulation::FaultCounters faults;
    RequestTally tally;
    std::uint64_t keyed_done = 0;
    std::uint64_t passed_on = 0;
    std::uint64_t claimable = 0;
    requireProperty("INV-6 across zones through faults", kFaultRuns, [&] {
      const GeneratedRun run = *runs(acrossZonesBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planBookings(fleet, BookingWorkload{});
      planHolderFaults(fleet, 3, BookingWorkload{}.within);
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(BookingWorkload{}.within + seconds(10));
      player.endAll();
      fleet.time().runFor(seconds(30));
      RC_ASSERT(fleet.openRequests() == 0U);
      requireAtMostOnce(fleet, fleet.services());
      claimable += requireKeysClaimable(fleet);
      keyed_done += countDoneWithKey(fleet);
      passed_on += counted(fleet, "cypresswall_claims_passed_on_total");
      faults.merge(fleet.faults());
      tally.add(fleet);
    });
    std::cout << "\nINV-6 across zones: " << tally.summary() << ", " << keyed_done
              << " done with a key, " << claimable << " of them after the faults, " << passed_on
              << " claims and reports forwarded; faults: " << faults.summary() << std::endl;
    CPPUNIT_ASSERT(keyed_done > 0);
    CPPUNIT_ASSERT(passed_on > 0);
    CPPUNIT_ASSERT(claimable > 2 * kFaultRuns);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kCut) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kOneWayCut) > 0);
  }

  /// The last zone is removed and declared again under load, while some callers use nodes where the
  /// change is not yet in force. Retention and margin are shortened so that the transfer of
  /// ownership also completes within the run.
  void keysRunAtMostOnceThroughChangesOfTheZones() {
    simulation::FaultCounters faults;
    RequestTally tally;
    std::uint64_t changes = 0;
    std::uint64_t moved = 0;
    std::uint64_t keyed_done = 0;
    requireProperty("INV-6 while zones are removed and declared", kZoneChangeRuns, [&] {
      RunBounds bounds = acrossZonesBounds();
      bounds.actions = {FaultAction::kKillNode, FaultAction::kPauseNode, FaultAction::kCutZones,
                        FaultAction::kCutOneWay};
      bounds.maximum_faults = 6;
      const GeneratedRun run = *runs(bounds);
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      settings.node.claims.retention = seconds(30);
      settings.node.claims.ownership_margin = seconds(20);
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      const auto zone = simulation::zoneName(run.topology.zones - 1);
      std::uint64_t accepted = 0;
      change(fleet, removalsOfZoneWorkloads(*fleet.slot(0).node->configuration().current(), zone),
             accepted);
      fleet.time().runFor(seconds(2));
      BookingWorkload workload;
      workload.keys = 120;
      workload.requests_per_key = 5;
      workload.within = seconds(140);
      planBookings(fleet, workload);
      planZoneChanges(fleet, zone, accepted);
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(workload.within + seconds(20));
      player.endAll();
      fleet.time().runFor(seconds(10));
      RC_ASSERT(fleet.openRequests() == 0U);
      requireAtMostOnce(fleet, fleet.services());
      changes += accepted;
      moved += counted(fleet, "cypresswall_claims_moved_total");
      keyed_done += countDoneWithKey(fleet);
      faults.merge(fleet.faults());
      tally.add(fleet);
    });
    std::cout << "\nINV-6 during changes of the zones: " << tally.summary() << ", " << keyed_done
              << " done with a key, " << changes << " changes accepted, " << moved
              << " claims refused because their key had moved; faults: " << faults.summary()
              << std::endl;
    CPPUNIT_ASSERT(keyed_done > 0);
    CPPUNIT_ASSERT(changes > 2 * kZoneChangeRuns);
    CPPUNIT_ASSERT(moved > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kCut) > 0);
  }

 private:
  /// Schedules three changes: the zone is removed, declared again, and removed again, at intervals
  /// both shorter and longer than the transfer of ownership takes.
  static void planZoneChanges(simulation::SimulatedFleet& fleet, const common::ZoneName& zone,
                              std::uint64_t& accepted) {
    using configuration::ObjectKind;
    auto& random = fleet.simulation().random();
    auto at = common::Duration{0};
    for (int number = 0; number < 3; ++number) {
      at += common::Duration(random.below(common::Duration(seconds(60)).count()));
      fleet.time().schedule(at, [&fleet, &accepted, zone, remove = number % 2 == 0] {
        const configuration::ZoneDeclaration declaration{zone, "region-1"};
        change(fleet,
               {remove ? configuration::removeObject(ObjectKind::kZone, zone)
                       : configuration::setObject(ObjectKind::kZone, zone, declaration)},
               accepted);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceAcrossZonesTest);

}  // namespace
}  // namespace cypresswall::testing
