/// Guards against nodes that take a store restored from a copy for an outdated one, or outdated
/// contents for new ones: changes of the operator and of runners must be in force in time, and what
/// the store acknowledged before must not be undone.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "platform/fleet_declaration.h"
#include "platform/relayed_watch.h"
#include "tests/objects_platform/restored_store/restorable_store.h"
#include "tests/support/engine_world.h"

namespace cypresswall::objects_platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using store_relay::Topic;
using testing::RestorableStore;
using testing::RestorableStoreCalls;

/// Time within which a change must be in force at every node.
constexpr common::Duration kApplyLimit = seconds(2);
constexpr const char* kRunners = "servers";
constexpr const char* kConfiguration = "config";

wire::Json runnerSpec(int number, const std::string& state) {
  return {{"service", "api"}, {"address", "10.9.0." + std::to_string(number) + ":80"},
          {"zone", "z"},      {"slots", 2},
          {"state", state},   {"born", 1000 + number}};
}

wire::Json configurationSpec(std::uint64_t version) {
  const wire::Json route = {{"name", "r"},          {"host", "track.example"}, {"path_prefix", "/"},
                            {"kind", "idempotent"}, {"timeout_ms", 1000},      {"priority", 2},
                            {"service", "api"},     {"max_attempts", 2}};
  const wire::Json service = {{"name", "api"}, {"health_path", "/healthz"}, {"max_conns", 100}};
  return {{"version", version},
          {"routes", wire::Json::array({route})},
          {"services", wire::Json::array({service})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

/// One node: its calls to the store, its relay and the fleet that it declares.
struct RestoredNode {
  RestoredNode(simulation::SimulatedProcess& its_process, RestorableStore& store)
      : process(its_process),
        membership(process.id(), "z"),
        incarnation(process.context()),
        direct_calls(store, process),
        calls(direct_calls, incarnation),
        runners(process.context()),
        fleet(process.context(), runners, ZoneRegions("z"), {}),
        relay({}, process.context(), membership, incarnation),
        runner_watch(Topic::kListedEngines, kRunners, {}, process.context(), calls, runners),
        fleet_watch(Topic::kDeclaredFleet, kConfiguration, {}, process.context(), calls, fleet) {
    incarnation.onChange([this] { runners.storeRestored(); });
    runner_watch.joinRelay(relay);
    fleet_watch.joinRelay(relay);
  }

  /// \return true if the node may send requests to the runner
  bool uses(int number) const {
    const auto service = fleet.current()->http_services.find("r@api");
    if (service == fleet.current()->http_services.end()) {
      return false;
    }
    const auto& backends = service->second.backends;
    const auto address = runnerSpec(number, "ready").at("address").get<std::string>();
    return std::any_of(backends.begin(), backends.end(),
                       [&](const auto& backend) { return backend.address == address; });
  }

  simulation::SimulatedProcess& process;
  cypresswall::testing::SettableMembership membership;
  store_relay::StoreIncarnation incarnation;
  RestorableStoreCalls direct_calls;
  IncarnationCheckedCalls calls;
  RunnerRegistry runners;
  FleetDeclaration fleet;
  store_relay::StoreRelay relay;
  RelayedWatch runner_watch;
  RelayedWatch fleet_watch;
};

class RestoredZone {
 public:
  explicit RestoredZone(std::uint64_t seed = 1, int node_count = 7, int runner_count = 6)
      : simulation(seed) {
    writeConfiguration(1);
    for (int number = 1; number <= runner_count; ++number) {
      writeRunner(number);
    }
    for (int number = 0; number < node_count; ++number) {
      nodes.push_back(makeNode(number));
    }
    showMembers();
    for (RestoredNode* const node : nodes) {
      node->relay.start();
    }
    run(seconds(3));
  }

  void run(common::Duration time) {
    constexpr common::Duration kStep = milliseconds(50);
    for (common::Duration passed{0}; passed < time; passed += kStep) {
      simulation.time().runFor(kStep);
      checkVersions();
    }
  }
  void writeConfiguration(std::uint64_t version) {
    store.put(kConfiguration, wire::kConfigurationName, configurationSpec(version));
  }
  void writeRunner(int number, const std::string& state = "ready") {
    store.put(kRunners, "i-" + std::to_string(number), runnerSpec(number, state));
  }
  void removeRunner(int number) { store.erase(kRunners, "i-" + std::to_string(number)); }
  /// Advances the store's revision without a change that nodes notice.
  void writeOthers(int count) {
    for (int i = 0; i < count; ++i) {
      store.put("others", "o", wire::Json{{"number", ++others_}});
    }
  }
  void outage(common::Duration time) {
    store.goAway();
    run(time);
    store.restore();
  }
  /// Replaces the process of a node by one that knows nothing.
  void restart(std::size_t node) {
    simulation.kill(nodes[node]->process);
    nodes[node] = makeNode(static_cast<int>(node));
    versions_[node] = 0;
    showMembers();
    nodes[node]->relay.start();
  }

  int nodesWithVersion(std::uint64_t version) const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [&](const auto* node) {
      return node->fleet.current()->version >= version;
    }));
  }
  int nodesThatUse(int runner) const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(),
                                          [&](const auto* node) { return node->uses(runner); }));
  }
  /// \return the number of nodes that lack a change which a reader announced, and so refuse callers
  int nodesOutdated() const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [](const auto* node) {
      return node->relay.outdatedFor(Topic::kDeclaredFleet) ||
             node->relay.outdatedFor(Topic::kListedEngines);
    }));
  }
  int size() const { return static_cast<int>(nodes.size()); }

  RestorableStore store;
  simulation::Simulation simulation;
  std::vector<RestoredNode*> nodes;

 private:
  RestoredNode* makeNode(int number) {
    simulation::SimulatedProcess& process =
        simulation.start("10.0.0." + std::to_string(number + 1) + ":7000", "z");
    versions_.resize(std::max(versions_.size(), static_cast<std::size_t>(number) + 1));
    return &process.emplace<RestoredNode>(process, store);
  }
  void showMembers() {
    std::vector<membership::Member> members;
    for (const RestoredNode* const node : nodes) {
      members.push_back({node->process.id(), "", membership::MemberState::kAlive, ""});
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    for (RestoredNode* const node : nodes) {
      node->membership.setMembers(members);
    }
  }
  /// No node ever goes back to an older version of the configuration.
  void checkVersions() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const std::uint64_t version = nodes[i]->fleet.current()->version;
      CPPUNIT_ASSERT(version >= versions_[i]);
      versions_[i] = version;
    }
  }

  std::vector<std::uint64_t> versions_;
  int others_ = 0;
};

class RestoredStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(changesAfterRestoreAreInForceInTime);
  CPPUNIT_TEST(changesAreFoundThoughTheirRevisionsWereUsedBefore);
  CPPUNIT_TEST(drainKnownBeforeRestoreIsNotUndone);
  CPPUNIT_TEST(removedRunnerIsNotUsedWhileOnlyTheCopyListsIt);
  CPPUNIT_TEST(removedRunnerThatStaysListedIsUsedAgain);
  CPPUNIT_TEST(runnerThatTheCopyLacksIsKeptUntilItIsWrittenAgain);
  CPPUNIT_TEST(runnerThatIsNotWrittenAgainIsRemoved);
  CPPUNIT_TEST(nodesAgreeAfterRestoresInSeries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void changesAfterRestoreAreInForceInTime() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      RestoredZone zone(seed);
      zone.store.copy();
      zone.writeOthers(20);
      zone.writeConfiguration(2);
      zone.run(seconds(2));
      zone.outage(milliseconds(2600));
      zone.run(seconds(3));
      zone.writeConfiguration(3);
      zone.writeRunner(2, "draining");
      zone.run(kApplyLimit);
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesWithVersion(3));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(2));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesOutdated());
    }
  }

  /// By the time that nodes reach the store again, it has passed the revision that they know.
  void changesAreFoundThoughTheirRevisionsWereUsedBefore() {
    RestoredZone zone;
    zone.store.copy();
    zone.writeOthers(4);
    zone.run(seconds(1));
    zone.store.goAway();
    zone.run(milliseconds(300));
    zone.store.restore();
    zone.writeConfiguration(2);
    zone.writeRunner(3, "draining");
    zone.writeOthers(10);
    zone.run(kApplyLimit);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesWithVersion(2));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(3));
  }

  void drainKnownBeforeRestoreIsNotUndone() {
    RestoredZone zone;
    zone.store.copy();
    zone.writeRunner(4, "draining");
    zone.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(4));
    zone.outage(seconds(2));
    for (int step = 0; step < 20; ++step) {
      zone.run(milliseconds(250));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(4));
    }
  }

  /// The entry of a runner that does not live any more goes again after three heartbeats.
  void removedRunnerIsNotUsedWhileOnlyTheCopyListsIt() {
    RestoredZone zone;
    zone.store.copy();
    zone.removeRunner(5);
    zone.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(5));
    zone.outage(seconds(2));
    for (int step = 0; step < 20; ++step) {
      zone.run(milliseconds(200));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(5));
    }
    zone.removeRunner(5);
    zone.run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(5));
  }

  void removedRunnerThatStaysListedIsUsedAgain() {
    RestoredZone zone;
    zone.store.copy();
    zone.removeRunner(5);
    zone.removeRunner(6);
    zone.run(seconds(1));
    zone.outage(seconds(2));
    zone.run(seconds(1));
    zone.writeRunner(6);
    zone.run(kApplyLimit);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatUse(6));
    zone.run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatUse(5));
  }

  void runnerThatTheCopyLacksIsKeptUntilItIsWrittenAgain() {
    RestoredZone zone;
    zone.store.copy();
    zone.writeRunner(8);
    zone.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatUse(8));
    zone.outage(seconds(2));
    for (int step = 0; step < 6; ++step) {
      zone.run(milliseconds(250));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatUse(8));
    }
    zone.writeRunner(8);
    for (int step = 0; step < 40; ++step) {
      zone.run(milliseconds(250));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatUse(8));
    }
  }

  void runnerThatIsNotWrittenAgainIsRemoved() {
    RestoredZone zone;
    zone.store.copy();
    zone.writeRunner(8);
    zone.run(seconds(1));
    zone.outage(seconds(2));
    zone.run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesThatUse(8));
  }

  /// Changes, restores, outages and restarts of nodes in random order and overlapping.
  void nodesAgreeAfterRestoresInSeries() {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      RestoredZone zone(seed);
      common::SeededRandom random(seed);
      std::uint64_t version = 1;
      int next_runner = 7;
      zone.store.copy();
      for (int step = 0; step < 60; ++step) {
        switch (random.below(8)) {
          case 0:
            zone.store.copy();
            break;
          case 1:
            zone.outage(milliseconds(random.below(3000)));
            break;
          case 2:
            zone.restart(random.below(zone.nodes.size()));
            break;
          case 3:
            zone.writeConfiguration(++version);
            break;
          case 4:
            zone.writeRunner(next_runner++);
            break;
          case 5:
            zone.removeRunner(
                static_cast<int>(random.below(static_cast<std::uint64_t>(next_runner))) + 1);
            break;
          default:
            zone.writeOthers(static_cast<int>(random.below(6)));
        }
        zone.run(milliseconds(random.below(700)));
      }
      zone.writeConfiguration(++version);
      zone.run(seconds(10));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesWithVersion(version));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesOutdated());
      for (int runner = 1; runner < next_runner; ++runner) {
        const bool stored = zone.store.contains(kRunners, "i-" + std::to_string(runner));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "runner " + std::to_string(runner) + ", seed " + std::to_string(seed),
            stored ? zone.size() : 0, zone.nodesThatUse(runner));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

}  // namespace
}  // namespace cypresswall::objects_platform
