#include "cypresswall/routing/engine_ejection.h"

#include <map>
#include <memory>
#include <vector>

#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

using namespace std::chrono_literals;
using engines::StreamFailure;

const common::ModelName kModel = "m";

/// Nodes of one zone, each with a table of the same idle engines.
class EjectionZone {
 public:
  EjectionZone(int node_count, int engine_count, const EjectionSettings& given = {})
      : settings(given), simulation_(1) {
    for (int i = 0; i < engine_count; ++i) {
      testing::declareEngine(fleet_, nameOf(i), kModel);
    }
    std::vector<common::NodeId> ids;
    for (int i = 0; i < node_count; ++i) {
      Node& node = nodes.emplace_back();
      node.process = &simulation_.start(addressOf(i), "z");
      ids.push_back(node.process->id());
    }
    for (Node& node : nodes) {
      node.membership =
          &node.process->emplace<testing::SettableMembership>(node.process->id(), "z");
      node.membership->setMembers(ids);
      node.table = &node.process->emplace<EngineTable>(DirectorySettings{});
      node.table->declare(fleet_, "z", node.process->context().clock.now());
      auto& groups =
          node.process->emplace<EngineGroups>(GroupSettings{}, *node.membership, *node.table);
      groups.update();
      node.groups = &groups;
      node.claims =
          &node.process->emplace<ReachabilityClaims>(node.process->context(), *node.table);
      node.ejection = &node.process->emplace<EngineEjection>(settings, node.process->context(),
                                                             groups, *node.table, *node.claims);
    }
    members = nodes.front().membership->members();
    report();
  }

  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    testing::SettableMembership* membership = nullptr;
    EngineTable* table = nullptr;
    EngineGroups* groups = nullptr;
    ReachabilityClaims* claims = nullptr;
    EngineEjection* ejection = nullptr;
  };

  static common::Address addressOf(int i) {
    return std::string("10.0.0.").append(std::to_string(i + 1)).append(":7000");
  }
  static std::string nameOf(int i) { return std::string("e").append(std::to_string(100 + i)); }
  /// Reports all engines as idle at every node.
  void report() {
    for (Node& node : nodes) {
      const auto now = node.process->context().clock.now();
      for (const EngineSlot slot : node.table->roster()) {
        node.table->observe(slot, {idle, now, true}, now);
      }
    }
  }
  void run(common::Duration time) {
    simulation_.time().runFor(time);
    for (Node& node : nodes) {
      node.table->sweep(node.process->context().clock.now());
    }
  }
  void fail(std::size_t node, int engine, StreamFailure failure) {
    Node& at = nodes[node];
    at.ejection->attemptFailed(at.table->slotOf(nameOf(engine)), failure);
  }
  bool ejected(std::size_t node, int engine) const {
    const EngineTable& table = *nodes[node].table;
    return table.record(table.slotOf(nameOf(engine))).availability == EngineAvailability::kEjected;
  }
  int nodesEjecting(int engine) const {
    int count = 0;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      count += ejected(node, engine) ? 1 : 0;
    }
    return count;
  }
  int ejectedAt(std::size_t node) const {
    int count = 0;
    for (std::size_t engine = 0; engine < fleet_.engines.size(); ++engine) {
      count += ejected(node, static_cast<int>(engine)) ? 1 : 0;
    }
    return count;
  }

  EjectionSettings settings;
  const engines::EngineLoad idle = testing::idleLoad(kModel, engines::EngineRole::kMixed);
  std::vector<Node> nodes;
  std::vector<membership::Member> members;

 private:
  simulation::Simulation simulation_;
  configuration::FleetConfiguration fleet_;
};

class EngineEjectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineEjectionTest);
  CPPUNIT_TEST(failedConnectionEjectsLocallyOnly);
  CPPUNIT_TEST(twoReportingNodesEjectZoneWide);
  CPPUNIT_TEST(ejectionExpires);
  CPPUNIT_TEST(repeatedEjectionsLastLonger);
  CPPUNIT_TEST(backoffResetsAfterHealthyPeriod);
  CPPUNIT_TEST(ejectionNeedsSeveralBrokenStreams);
  CPPUNIT_TEST(refusalsDoNotEject);
  CPPUNIT_TEST(restartEndsEjection);
  CPPUNIT_TEST(isolatedNodeKeepsHalfOfTheEngines);
  CPPUNIT_TEST(ejectionReachesZoneAfterFewFailures);
  CPPUNIT_TEST(ejectionIsSentToRoutingNodesOnly);
  CPPUNIT_TEST(ejectedShareIsLimited);
  CPPUNIT_TEST(disabledEjectionEjectsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void failedConnectionEjectsLocallyOnly() {
    EjectionZone zone(5, 10);
    zone.fail(0, 3, StreamFailure::kNotSent);
    CPPUNIT_ASSERT(zone.ejected(0, 3));
    zone.run(100ms);
    CPPUNIT_ASSERT_EQUAL(1, zone.nodesEjecting(3));
  }

  /// With ejection enabled, such failures eject at all nodes: see twoReportingNodesEjectZoneWide.
  void disabledEjectionEjectsNothing() {
    EjectionSettings off;
    off.ejection_enabled = false;
    EjectionZone zone(5, 10, off);
    for (std::size_t node = 0; node < 5; ++node) {
      zone.fail(node, 3, StreamFailure::kNotSent);
    }
    zone.run(100ms);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesEjecting(3));
  }

  void twoReportingNodesEjectZoneWide() {
    EjectionZone zone(5, 10);
    zone.fail(0, 3, StreamFailure::kNotSent);
    zone.fail(1, 3, StreamFailure::kNotSent);
    zone.run(100ms);
    CPPUNIT_ASSERT_EQUAL(5, zone.nodesEjecting(3));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesEjecting(4));
  }

  void ejectionExpires() {
    EjectionZone zone(3, 10);
    zone.fail(0, 3, StreamFailure::kNotSent);
    zone.fail(1, 3, StreamFailure::kNotSent);
    zone.run(100ms);
    zone.run(600ms);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesEjecting(3));
  }

  void repeatedEjectionsLastLonger() {
    EjectionZone zone(1, 10);
    common::Duration lasted{0};
    for (const common::Duration expected : {500ms, 1000ms, 2000ms, 4000ms, 4000ms}) {
      zone.fail(0, 3, StreamFailure::kNotSent);
      lasted = 0ms;
      while (zone.ejected(0, 3)) {
        zone.report();
        zone.run(50ms);
        lasted += 50ms;
      }
      CPPUNIT_ASSERT(lasted >= expected && lasted <= expected + 100ms);
    }
  }

  void backoffResetsAfterHealthyPeriod() {
    EjectionZone zone(1, 10);
    for (int round = 0; round < 3; ++round) {
      zone.fail(0, 3, StreamFailure::kNotSent);
      zone.run(550ms);
      zone.report();
      CPPUNIT_ASSERT(!zone.ejected(0, 3));
      zone.run(4s);
      zone.report();
    }
  }

  void ejectionNeedsSeveralBrokenStreams() {
    EjectionZone zone(4, 10);
    zone.fail(0, 3, StreamFailure::kBroken);
    zone.fail(0, 3, StreamFailure::kBroken);
    zone.run(10ms);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesEjecting(3));
    zone.fail(0, 3, StreamFailure::kBroken);
    zone.run(10ms);
    CPPUNIT_ASSERT_EQUAL(1, zone.nodesEjecting(3));
    zone.fail(1, 3, StreamFailure::kBroken);
    zone.fail(1, 3, StreamFailure::kBroken);
    zone.run(10ms);
    CPPUNIT_ASSERT_EQUAL(4, zone.nodesEjecting(3));
  }

  void refusalsDoNotEject() {
    EjectionZone zone(3, 10);
    for (int i = 0; i < 50; ++i) {
      zone.fail(0, 3, StreamFailure::kRefused);
      zone.fail(1, 3, StreamFailure::kNotTried);
    }
    zone.run(10ms);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesEjecting(3));
  }

  void restartEndsEjection() {
    EjectionZone zone(1, 10);
    zone.fail(0, 3, StreamFailure::kNotSent);
    auto& node = zone.nodes[0];
    const auto now = node.process->context().clock.now();
    auto load = zone.idle;
    load.incarnation += 1;
    node.table->observe(node.table->slotOf(EjectionZone::nameOf(3)), {load, now, true}, now);
    CPPUNIT_ASSERT(!zone.ejected(0, 3));
  }

  /// If a node can reach no engine, its own link is at fault rather than all engines: it must keep
  /// using half of them, and its reports alone must not eject any engine at other nodes.
  void isolatedNodeKeepsHalfOfTheEngines() {
    EjectionZone zone(4, 10);
    for (int engine = 0; engine < 10; ++engine) {
      zone.fail(2, engine, StreamFailure::kNotSent);
      zone.fail(2, engine, StreamFailure::kNotSent);
    }
    zone.run(50ms);
    CPPUNIT_ASSERT_EQUAL(5, zone.ejectedAt(2));
    CPPUNIT_ASSERT_EQUAL(0, zone.ejectedAt(0));
  }

  void ejectionReachesZoneAfterFewFailures() {
    constexpr int kNodes = 24;
    EjectionZone zone(kNodes, 10);
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (!zone.ejected(node, 3)) {
        zone.fail(node, 3, StreamFailure::kNotSent);
      }
      zone.run(2ms);
    }
    CPPUNIT_ASSERT_EQUAL(kNodes, zone.nodesEjecting(3));
    std::uint64_t failures = 0;
    for (const auto& node : zone.nodes) {
      failures += static_cast<std::uint64_t>(
          node.process->context().counters.total("cypresswall_engine_ejections_total"));
    }
    // Only a few nodes eject by themselves, so that each node ejects once or twice.
    CPPUNIT_ASSERT(failures <= 30);
  }

  /// In a large zone only the engine's routing nodes are notified of an ejection.
  void ejectionIsSentToRoutingNodesOnly() {
    EjectionZone zone(60, 10);
    for (std::size_t node = 0; node < 5; ++node) {
      zone.fail(node, 3, StreamFailure::kNotSent);
    }
    zone.run(50ms);
    int elsewhere = 0;
    for (std::size_t node = 0; node < 60; ++node) {
      const auto& at = zone.nodes[node];
      const bool routes = at.groups->routesTo(at.table->slotOf(EjectionZone::nameOf(3)));
      CPPUNIT_ASSERT(!routes || zone.ejected(node, 3));
      elsewhere += !routes && node >= 5 && zone.ejected(node, 3) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, elsewhere);
  }

  void ejectedShareIsLimited() {
    testing::requireProperty("the share of ejected engines stays within its limit", 100, [] {
      EjectionZone zone(3, *rc::gen::inRange(1, 12));
      const int engines = static_cast<int>(zone.nodes[0].table->roster().size());
      const int failures = *rc::gen::inRange(1, 200);
      for (int i = 0; i < failures; ++i) {
        zone.fail(static_cast<std::size_t>(*rc::gen::inRange(0, 3)), *rc::gen::inRange(0, engines),
                  *rc::gen::element(StreamFailure::kNotSent, StreamFailure::kBroken));
        zone.run(std::chrono::milliseconds(*rc::gen::inRange(0, 30)));
        for (std::size_t node = 0; node < 3; ++node) {
          RC_ASSERT(zone.ejectedAt(node) * 2 <= engines);
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineEjectionTest);

}  // namespace
}  // namespace cypresswall::routing
