/// Complete nodes of one large zone, in which only a few nodes route to an engine. Guards
/// against wrong, truncated or lost responses when those nodes crash, pause, stop or restart.
#include <algorithm>
#include <memory>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"
#include "tests/support/property.h"

namespace cypresswall::node {
namespace {

using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kNodes = 40;
constexpr std::uint32_t kEngines = 36;
constexpr std::uint64_t kVersion = 41;

/// A fleet declared by the platform, as in production.
class LargeZone {
 public:
  explicit LargeZone(std::uint64_t seed) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = kNodes;
    settings.topology.engines_per_zone = kEngines;
    settings.declared = &declared_;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings.topology);
    declared_.set(configuration::applyChange({}, change));
    fleet = std::make_unique<SimulatedFleet>(seed, settings);
    fleet->bringUp();
  }

  /// Sends one request per step to a random node; skips steps whose node is down.
  void sendRequests(int count, common::Duration step) {
    for (int i = 0; i < count; ++i) {
      const std::size_t node = fleet->simulation().random().below(kNodes);
      if (fleet->running(node)) {
        fleet->sendModelRequest(node, 300, 8);
      }
      fleet->time().runFor(step);
    }
  }
  std::size_t done() const {
    return static_cast<std::size_t>(std::count_if(
        fleet->records().begin(), fleet->records().end(),
        [](const CallerRecord& record) { return record.result == CallerResult::kDone; }));
  }
  double placedByOwners() const {
    double answers = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (fleet->running(i)) {
        answers += fleet->slot(i).process->counters().total("cypresswall_placement_answered_total");
      }
    }
    return answers;
  }

 private:
  configuration::StaticConfigurationView declared_;

 public:
  std::unique_ptr<SimulatedFleet> fleet;
};

class LargeZoneFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeZoneFleetTest);
  CPPUNIT_TEST(ownersPlaceRequestsOfOtherNodes);
  CPPUNIT_TEST(answersAreCorrectUnderNodeFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ownersPlaceRequestsOfOtherNodes() {
    LargeZone zone(1);
    zone.sendRequests(200, milliseconds(20));
    zone.fleet->time().runFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, zone.done());
    CPPUNIT_ASSERT(zone.placedByOwners() > 100);
  }

  void answersAreCorrectUnderNodeFaults() {
    testing::requireProperty("answers are right in a large zone", 6, [](std::uint32_t seed) {
      LargeZone zone(seed);
      SimulatedFleet& fleet = *zone.fleet;
      for (int round = 0; round < 12; ++round) {
        for (int fault = 0; fault < 3; ++fault) {
          const std::size_t node = fleet.simulation().random().below(kNodes);
          switch (fleet.simulation().random().below(4)) {
            case 0:
              fleet.killNode(node);
              break;
            case 1:
              fleet.pauseNode(node, milliseconds(1200));
              break;
            case 2:
              fleet.stopNode(node);
              break;
            default:
              fleet.startNode(node);
          }
        }
        zone.sendRequests(20, milliseconds(30));
      }
      for (std::size_t node = 0; node < kNodes; ++node) {
        fleet.startNode(node);
      }
      fleet.time().runFor(seconds(30));
      const std::size_t before = zone.done();
      zone.sendRequests(50, milliseconds(30));
      fleet.time().runFor(seconds(10));
      RC_ASSERT(fleet.openRequests() == 0);
      RC_ASSERT(zone.done() >= before + 50);
      for (const CallerRecord& record : fleet.records()) {
        RC_ASSERT(record.misplaced_tokens == 0);
        RC_ASSERT(record.late_calls == 0);
        RC_ASSERT(record.result != CallerResult::kDone ||
                  record.answer == SimulatedFleet::expectedAnswer(record));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeZoneFleetTest);

}  // namespace
}  // namespace cypresswall::node
