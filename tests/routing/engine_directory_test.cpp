#include "cypresswall/routing/engine_directory.h"

#include <algorithm>

#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

using testing::ScriptedEngineClient;
using testing::SettableConfiguration;
using testing::SettableMembership;

constexpr auto kLongAfterStart = std::chrono::seconds(5);

struct Node {
  simulation::SimulatedProcess* process = nullptr;
  SettableConfiguration* configuration = nullptr;
  SettableMembership* membership = nullptr;
  EngineDirectory* directory = nullptr;
};

/// A zone of engine directories with scripted engines.
class Zone {
 public:
  Zone(std::uint64_t seed, int nodes, int engines) : simulation_(seed) {
    for (int i = 0; i < engines; ++i) {
      const std::string name = "e" + std::to_string(1000 + i);
      testing::declareEngine(fleet, name, "m");
      this->engines[name + ":1"].load = testing::idleLoad("m", engines::EngineRole::kMixed);
    }
    for (int i = 0; i < nodes; ++i) {
      addNode("10.0.0." + std::to_string(i + 1) + ":7000");
    }
    shareMembers();
  }

  Node& addNode(const std::string& address) {
    Node node;
    node.process = &simulation_.start(address, "z");
    node.configuration = &node.process->emplace<SettableConfiguration>();
    node.membership = &node.process->emplace<SettableMembership>(node.process->id(), "z");
    auto& client = node.process->emplace<ScriptedEngineClient>(*node.process, engines);
    node.directory =
        &node.process->emplace<EngineDirectory>(DirectorySettings{}, node.process->context(),
                                                client, *node.configuration, *node.membership);
    node.directory->start();
    node.configuration->set(fleet);
    nodes.push_back(node);
    return nodes.back();
  }

  void shareMembers() {
    std::vector<common::NodeId> ids;
    for (const Node& node : nodes) {
      if (node.process->alive()) {
        ids.push_back(node.process->id());
      }
    }
    for (const Node& node : nodes) {
      if (node.process->alive()) {
        node.membership->setMembers(ids);
      }
    }
  }

  /// Identity requests sent by all nodes.
  double identityRequests() const {
    double sum = 0;
    for (const Node& node : nodes) {
      sum += node.process->counters().total("cypresswall_engine_identity_requests_total");
    }
    return sum;
  }
  /// Declares further engines at all nodes.
  void declareNewEngines(int count) {
    for (int i = 0; i < count; ++i) {
      testing::declareEngine(fleet, newEngine(i), "m");
      engines[newEngine(i) + ":1"].load = testing::idleLoad("m", engines::EngineRole::kMixed);
    }
    for (const Node& node : nodes) {
      node.configuration->set(fleet);
    }
  }
  static std::string newEngine(int number) { return "new-" + std::to_string(number); }

  bool eachHasOneWatcher() const {
    const auto& names = nodes[0].directory->table().names();
    return std::all_of(names.begin(), names.end(), [this](const auto& name) {
      return std::count_if(nodes.begin(), nodes.end(), [&name](const Node& node) {
               return node.directory->find(name)->watched_here;
             }) == 1;
    });
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }
  simulation::Simulation& simulation() { return simulation_; }
  EngineAvailability seenBy(std::size_t node, const std::string& engine) {
    return nodes[node].directory->find(engine)->availability;
  }

  configuration::FleetConfiguration fleet;
  testing::ScriptedEngines engines;
  std::vector<Node> nodes;

 private:
  simulation::Simulation simulation_;
};

/// Membership of a node that knows no other member while `is_joining` is set.
class JoiningMembership final : public membership::MembershipView {
 public:
  JoiningMembership(common::NodeId self, common::ZoneName zone)
      : members_(std::move(self), std::move(zone)) {}

  const common::NodeId& self() const override { return members_.self(); }
  const common::ZoneName& zone() const override { return members_.zone(); }
  const std::vector<membership::Member>& members() const override { return members_.members(); }
  bool machineLeaving(const common::MachineName&) const override { return false; }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool confirmedDead(const common::NodeId&) const override { return false; }
  void setDigest(membership::DigestTopic, std::uint64_t) override {}
  std::optional<std::uint64_t> digest(const common::NodeId&,
                                      membership::DigestTopic) const override {
    return std::nullopt;
  }
  bool joining() const override { return is_joining; }
  void onChange(std::function<void()> listener) override { members_.onChange(std::move(listener)); }
  void setMembers(const std::vector<common::NodeId>& nodes) { members_.setMembers(nodes); }

  bool is_joining = true;

 private:
  testing::SettableMembership members_;
};

class EngineDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineDirectoryTest);
  CPPUNIT_TEST(everyNodeLearnsEveryEngine);
  CPPUNIT_TEST(eachEngineHasOneWatcher);
  CPPUNIT_TEST(changedLoadReachesPeers);
  CPPUNIT_TEST(recoversFromLostMessages);
  CPPUNIT_TEST(enginesOfDeadWatcherAreTakenOver);
  CPPUNIT_TEST(unreachableEngineIsUnavailable);
  CPPUNIT_TEST(engineOnLeavingMachineIsUnavailable);
  CPPUNIT_TEST(drainedEngineIsUnavailable);
  CPPUNIT_TEST(restartClearsCachedPieces);
  CPPUNIT_TEST(cacheEventsReachPeers);
  CPPUNIT_TEST(publicationsStayWithinByteBudget);
  CPPUNIT_TEST(newVersionIsPublishedOnSpentBudget);
  CPPUNIT_TEST(steadyEngineIsPolledLessOften);
  CPPUNIT_TEST(quietCacheIsPolledLessOften);
  CPPUNIT_TEST(cacheSnapshotReachesAllNodes);
  CPPUNIT_TEST(largeZoneKnowsEveryEngine);
  CPPUNIT_TEST(planningNodeKnowsEveryEngine);
  CPPUNIT_TEST(joiningNodePollsNoEngine);
  CPPUNIT_TEST(steadyZoneIsConfirmedLessOften);
  CPPUNIT_TEST(engineSpeedIsPublishedOnce);
  CPPUNIT_TEST(mismatchedIdentityRequestsAreRateLimited);
  CPPUNIT_TEST(newEngineIsKnownAtOnce);
  CPPUNIT_TEST(newEngineIsKnownWhileItsWatcherStandsStill);
  CPPUNIT_TEST(newEngineThatNeverReportsIsPolledByItsWatcherOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void everyNodeLearnsEveryEngine() {
    Zone zone(1, 4, 16);
    zone.run(std::chrono::seconds(2));
    for (std::size_t node = 0; node < 4; ++node) {
      for (const EngineRecord& record : zone.nodes[node].directory->records()) {
        CPPUNIT_ASSERT(record.availability == EngineAvailability::kAvailable);
        CPPUNIT_ASSERT_EQUAL(10000.0, record.load.prefill_tokens_per_second);
      }
    }
  }

  /// Guards against callers refused for half a second at the nodes that don't watch a new engine,
  /// the only one left of its model: it was polled and published in the periods of a known one.
  void newEngineIsKnownAtOnce() {
    constexpr int kNewEngines = 12;
    Zone zone(20, 4, 4);
    zone.run(kLongAfterStart);
    zone.declareNewEngines(kNewEngines);
    zone.run(std::chrono::milliseconds(150));
    for (std::size_t node = 0; node < zone.nodes.size(); ++node) {
      for (int engine = 0; engine < kNewEngines; ++engine) {
        CPPUNIT_ASSERT(zone.seenBy(node, Zone::newEngine(engine)) ==
                       EngineAvailability::kAvailable);
      }
    }
  }

  /// Guards against callers of nodes in touch that are refused because the one node that watches a
  /// new engine stands still.
  void newEngineIsKnownWhileItsWatcherStandsStill() {
    constexpr int kNewEngines = 12;
    Zone zone(21, 4, 4);
    zone.run(kLongAfterStart);
    zone.simulation().pauseFor(*zone.nodes[3].process, std::chrono::seconds(5));
    zone.declareNewEngines(kNewEngines);
    zone.run(std::chrono::milliseconds(800));
    for (std::size_t node = 0; node < 3; ++node) {
      for (int engine = 0; engine < kNewEngines; ++engine) {
        CPPUNIT_ASSERT(zone.seenBy(node, Zone::newEngine(engine)) ==
                       EngineAvailability::kAvailable);
      }
    }
    zone.run(std::chrono::seconds(8));
    CPPUNIT_ASSERT(zone.eachHasOneWatcher());
  }

  /// Guards against all nodes polling an engine that was listed and never answered.
  void newEngineThatNeverReportsIsPolledByItsWatcherOnly() {
    Zone zone(22, 4, 4);
    zone.run(kLongAfterStart);
    zone.engines[Zone::newEngine(0) + ":1"].reachable = false;
    zone.declareNewEngines(1);
    zone.run(std::chrono::seconds(6));
    CPPUNIT_ASSERT(zone.eachHasOneWatcher());
  }

  void eachEngineHasOneWatcher() {
    Zone zone(2, 4, 40);
    zone.run(std::chrono::seconds(3));
    for (const auto& name : zone.nodes[0].directory->table().names()) {
      int watchers = 0;
      for (const Node& node : zone.nodes) {
        watchers += node.directory->find(name)->watched_here ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(1, watchers);
    }
  }

  // Guards against endless identity requests. A speed published in whole units was truncated
  // instead of rounded: some values, such as this one, lost a unit when a peer encoded the decoded
  // value again, so its tag never matched the published one. Each node then requested each engine's
  // identity at every publication and treated the engine as unknown until it was answered. Nodes
  // with a twelfth of a core and 10 Mbit/s used up both without any load, and refused half of the
  // requests although the engines were idle.
  void engineSpeedIsPublishedOnce() {
    constexpr std::size_t kNodes = 6;
    constexpr std::size_t kEngines = 24;
    Zone zone(17, kNodes, kEngines);
    for (auto& [address, engine] : zone.engines) {
      engine.load.kv_seconds_per_token = 2.016492307692308e-06;
    }
    zone.run(std::chrono::seconds(2));
    // From here on each engine is polled by its watcher only.
    for (auto& [address, engine] : zone.engines) {
      ++engine.load.incarnation;
    }
    zone.run(std::chrono::seconds(1));
    const double requests_before = zone.identityRequests();
    for (int second = 0; second < 10; ++second) {
      for (auto& [address, engine] : zone.engines) {
        engine.load.queued_prefill_tokens += 5000;
      }
      zone.run(std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(requests_before, zone.identityRequests());
    for (const Node& node : zone.nodes) {
      for (const EngineRecord& record : node.directory->records()) {
        CPPUNIT_ASSERT(record.availability == EngineAvailability::kAvailable);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.016492e-06, record.load.kv_seconds_per_token, 1e-12);
      }
    }
  }

  /// A peer of another build may publish identity tags that this node can't reproduce.
  void mismatchedIdentityRequestsAreRateLimited() {
    Zone zone(18, 2, 8);
    zone.run(std::chrono::seconds(2));
    const double requests_before = zone.identityRequests();
    EngineDeltas message;
    message.roster_digest = zone.nodes[0].directory->table().digest();
    EngineDelta delta;
    delta.index = 1;
    delta.identity_tag = 1;
    message.changed = {delta};
    constexpr int kMessages = 100;
    for (int i = 0; i < kMessages; ++i) {
      message.sequence = 1000 + static_cast<std::uint64_t>(i);
      zone.nodes[0].process->context().sendTo(zone.nodes[1].process->id(), message);
      zone.run(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(zone.identityRequests() - requests_before <= 11);
    CPPUNIT_ASSERT(zone.identityRequests() - requests_before >= 5);
  }

  void changedLoadReachesPeers() {
    Zone zone(3, 4, 16);
    zone.run(std::chrono::seconds(2));
    zone.engines["e1003:1"].load.queued_prefill_tokens = 40000;
    zone.run(std::chrono::seconds(1));
    for (const Node& node : zone.nodes) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{40000},
                           node.directory->find("e1003")->load.queued_prefill_tokens);
    }
  }

  void recoversFromLostMessages() {
    Zone zone(4, 4, 16);
    simulation::LinkSettings lossy;
    lossy.loss = 0.3;
    lossy.duplication = 0.1;
    lossy.reordering = 0.1;
    zone.simulation().network().setDefaults(lossy, lossy);
    zone.run(std::chrono::seconds(2));
    for (auto& [address, engine] : zone.engines) {
      engine.load.queued_prefill_tokens = 20000;
    }
    zone.run(std::chrono::seconds(1));
    zone.simulation().network().setDefaults({}, {});
    zone.run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(zone.simulation().faults().count(simulation::FaultKind::kMessageLost) > 10);
    for (const Node& node : zone.nodes) {
      for (const EngineRecord& record : node.directory->records()) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20000}, record.load.queued_prefill_tokens);
      }
    }
  }

  void enginesOfDeadWatcherAreTakenOver() {
    Zone zone(5, 3, 12);
    zone.run(std::chrono::seconds(2));
    zone.simulation().kill(*zone.nodes[0].process);
    zone.shareMembers();
    zone.run(std::chrono::seconds(4));
    for (const EngineRecord& record : zone.nodes[1].directory->records()) {
      CPPUNIT_ASSERT(record.availability == EngineAvailability::kAvailable);
    }
  }

  void unreachableEngineIsUnavailable() {
    Zone zone(6, 3, 12);
    zone.run(std::chrono::seconds(2));
    zone.engines["e1005:1"].reachable = false;
    zone.run(std::chrono::milliseconds(1500));
    for (std::size_t node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(zone.seenBy(node, "e1005") == EngineAvailability::kUnreachable);
    }
    zone.engines["e1005:1"].reachable = true;
    zone.run(std::chrono::milliseconds(1500));
    for (std::size_t node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(zone.seenBy(node, "e1005") == EngineAvailability::kAvailable);
    }
  }

  void engineOnLeavingMachineIsUnavailable() {
    Zone zone(7, 1, 4);
    zone.run(std::chrono::seconds(1));
    zone.nodes[0].membership->setLeaving("machine-e1001", true);
    CPPUNIT_ASSERT(zone.seenBy(0, "e1001") == EngineAvailability::kMachineLeaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         zone.nodes[0].directory->table().candidates("m", "", "").size());
  }

  void drainedEngineIsUnavailable() {
    Zone zone(8, 1, 4);
    zone.run(std::chrono::seconds(1));
    zone.nodes[0].directory->setDraining({"e1002"});
    CPPUNIT_ASSERT(zone.seenBy(0, "e1002") == EngineAvailability::kDraining);
    zone.nodes[0].directory->setDraining({});
    zone.fleet.engine_overrides["e1001"].drained = true;
    zone.fleet.drained_nodes["machine-e1003"] = true;
    zone.nodes[0].configuration->set(zone.fleet);
    CPPUNIT_ASSERT(zone.seenBy(0, "e1001") == EngineAvailability::kDrainedByOperator);
    CPPUNIT_ASSERT(zone.seenBy(0, "e1002") == EngineAvailability::kAvailable);
    CPPUNIT_ASSERT(zone.seenBy(0, "e1003") == EngineAvailability::kDrainedByOperator);
  }

  void restartClearsCachedPieces() {
    Zone zone(9, 1, 1);
    auto& engine = zone.engines["e1000:1"];
    engine.events = {{1, engines::CacheEventKind::kStored, 77}};
    zone.run(std::chrono::seconds(2));
    std::vector<PrefixMatch> matches;
    zone.nodes[0].directory->prefixes().match({77}, matches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, matches.size());
    engine.events.clear();
    engine.load.incarnation = 2;
    zone.run(std::chrono::seconds(2));
    zone.nodes[0].directory->prefixes().match({77}, matches);
    CPPUNIT_ASSERT(matches.empty());
  }

  void cacheEventsReachPeers() {
    Zone zone(10, 3, 6);
    zone.engines["e1004:1"].events = {{1, engines::CacheEventKind::kStored, 77}};
    zone.run(std::chrono::seconds(3));
    for (const Node& node : zone.nodes) {
      std::vector<PrefixMatch> matches;
      node.directory->prefixes().match({77}, matches);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, matches.size());
    }
  }

  void newVersionIsPublishedOnSpentBudget() {
    Zone zone(12, 13, 370);
    common::SeededRandom random(6);
    zone.run(std::chrono::seconds(5));
    randomizeLoads(zone, random, 5);
    zone.engines["e1100:1"].load.version = "2";
    randomizeLoads(zone, random, 10);
    for (const Node& node : zone.nodes) {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), node.directory->find("e1100")->load.version);
    }
  }

  void steadyEngineIsPolledLessOften() {
    Zone zone(13, 1, 3);
    auto& moving = zone.engines["e1001:1"];
    auto& changing = zone.engines["e1002:1"];
    changing.load.state = engines::EngineState::kChanging;
    std::map<common::Address, std::uint64_t> before;
    constexpr int kWarmUpTurns = 8;
    for (int turn = 0; turn < kWarmUpTurns + 40; ++turn) {
      if (turn == kWarmUpTurns) {
        for (const auto& [address, engine] : zone.engines) {
          before[address] = engine.load_reads;
        }
      }
      moving.load.queued_prefill_tokens += 4000;
      zone.run(std::chrono::milliseconds(250));
    }
    const auto reads = [&](const common::Address& address) {
      return zone.engines[address].load_reads - before[address];
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, reads("e1000:1"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, reads("e1001:1"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, reads("e1002:1"));
  }

  void quietCacheIsPolledLessOften() {
    Zone zone(14, 1, 1);
    auto& engine = zone.engines["e1000:1"];
    const auto readsIn = [&](common::Duration time) {
      const auto reads = [&] {
        return zone.nodes[0].process->counters().total("cypresswall_engine_cache_polls_total");
      };
      const double before = reads();
      zone.run(time);
      return reads() - before;
    };
    zone.run(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(5.0, readsIn(std::chrono::seconds(10)));
    engine.events = {{1, engines::CacheEventKind::kStored, 77}};
    engine.load.cache_pieces_used = 1;
    CPPUNIT_ASSERT(readsIn(std::chrono::milliseconds(1000)) >= 1.0);
    std::vector<PrefixMatch> matches;
    zone.nodes[0].directory->prefixes().match({77}, matches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, matches.size());
  }

  /// After a restart of all nodes, cache snapshots restore their knowledge of the engines' caches.
  void cacheSnapshotReachesAllNodes() {
    Zone zone(16, 3, 2);
    auto& engine = zone.engines["e1000:1"];
    engine.lists_cache = true;
    engine.load.cache_pieces_used = 2;
    engine.events = {{40, engines::CacheEventKind::kStored, 77},
                     {40, engines::CacheEventKind::kStored, 78}};
    zone.run(std::chrono::seconds(3));
    for (const Node& node : zone.nodes) {
      std::vector<PrefixMatch> matches;
      node.directory->prefixes().match({77}, matches);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, matches.size());
      CPPUNIT_ASSERT_EQUAL(1.0, node.directory->prefixes().trust(matches.at(0).engine));
    }
    engine.events.push_back({45, engines::CacheEventKind::kEvicted, 77});
    zone.run(std::chrono::seconds(5));
    for (const Node& node : zone.nodes) {
      std::vector<PrefixMatch> matches;
      node.directory->prefixes().match({77}, matches);
      CPPUNIT_ASSERT(matches.empty());
      node.directory->prefixes().match({78}, matches);
      CPPUNIT_ASSERT_EQUAL(1.0, node.directory->prefixes().trust(matches.at(0).engine));
      CPPUNIT_ASSERT_EQUAL(0.0,
                           node.process->counters().total("cypresswall_cache_event_gaps_total"));
    }
  }

  /// In a large zone, the two routing nodes of every engine know it permanently.
  void largeZoneKnowsEveryEngine() {
    Zone zone(17, 60, 60);
    for (int second = 0; second < 10; ++second) {
      for (auto& [address, engine] : zone.engines) {
        engine.load.running_streams = static_cast<std::uint32_t>(second % 5 * 6);
      }
      zone.run(std::chrono::seconds(1));
      if (second < 4) {
        continue;
      }
      std::map<common::EngineName, int> nodes_knowing;
      for (const Node& node : zone.nodes) {
        for (const EngineRecord& record : node.directory->records()) {
          const EngineSlot slot = node.directory->table().slotOf(record.declaration.name);
          const bool known = record.availability == EngineAvailability::kAvailable;
          CPPUNIT_ASSERT(known || !node.directory->groups().routesTo(slot));
          nodes_knowing[record.declaration.name] += known ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{60}, nodes_knowing.size());
      // An owner of two groups publishes the engines of both to the owners of each.
      constexpr int kMaximumNodesKnowing = 6;
      for (const auto& [engine, nodes] : nodes_knowing) {
        CPPUNIT_ASSERT(nodes >= 2 && nodes <= kMaximumNodesKnowing);
      }
    }
  }

  /// The node that plans roles knows every engine too.
  void planningNodeKnowsEveryEngine() {
    Zone zone(18, 40, 60);
    const common::NodeId planner = zone.nodes[11].process->id();
    for (const Node& node : zone.nodes) {
      node.directory->setPlanningNode([&planner] { return common::NodeId(planner); });
    }
    zone.run(std::chrono::seconds(4));
    for (const EngineRecord& record : zone.nodes[11].directory->records()) {
      CPPUNIT_ASSERT(record.availability == EngineAvailability::kAvailable);
    }
  }

  /// A joining node polls no engine until it knows other members: as the only known member of a
  /// large zone it would poll all engines.
  void joiningNodePollsNoEngine() {
    simulation::Simulation simulation(19);
    auto& process = simulation.start("10.0.0.1:7000", "z");
    auto& membership = process.emplace<JoiningMembership>(process.id(), "z");
    membership.setMembers({process.id()});
    testing::ScriptedEngines engines;
    configuration::FleetConfiguration fleet;
    testing::declareEngine(fleet, "e1", "m");
    auto& configuration = process.emplace<testing::SettableConfiguration>();
    auto& client = process.emplace<testing::ScriptedEngineClient>(process, engines);
    auto& directory = process.emplace<EngineDirectory>(DirectorySettings{}, process.context(),
                                                       client, configuration, membership);
    directory.start();
    configuration.set(fleet);
    simulation.time().runFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, engines["e1:1"].load_reads);
    membership.is_joining = false;
    simulation.time().runFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(engines["e1:1"].load_reads > 0);
  }

  void steadyZoneIsConfirmedLessOften() {
    Zone zone(15, 2, 8);
    zone.run(std::chrono::seconds(3));
    auto& counters = zone.nodes[0].process->counters();
    const double before = counters.total("cypresswall_engine_deltas_sent_total");
    zone.run(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(20.0, counters.total("cypresswall_engine_deltas_sent_total") - before);
    for (const EngineRecord& record : zone.nodes[1].directory->records()) {
      CPPUNIT_ASSERT(record.availability == EngineAvailability::kAvailable);
    }
  }

  void publicationsStayWithinByteBudget() {
    Zone zone(11, 13, 370);
    zone.run(std::chrono::seconds(5));
    common::SeededRandom random(5);
    const auto sent = [&] {
      return zone.nodes[0].process->counters().total("cypresswall_engine_deltas_sent_bytes_total");
    };
    const double before = sent();
    constexpr int kSeconds = 20;
    randomizeLoads(zone, random, kSeconds);
    const double rate = (sent() - before) / kSeconds;
    CPPUNIT_ASSERT_MESSAGE("bytes a second: " + std::to_string(rate), rate < 4500);
    int fresh = 0;
    for (const EngineRecord& record : zone.nodes[1].directory->records()) {
      fresh += record.availability == EngineAvailability::kAvailable ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(370, fresh);
  }

 private:
  /// Changes the load of every engine four times a second.
  static void randomizeLoads(Zone& zone, common::SeededRandom& random, int seconds) {
    constexpr int kChangesPerSecond = 4;
    for (int i = 0; i < seconds * kChangesPerSecond; ++i) {
      for (auto& [address, engine] : zone.engines) {
        engine.load.running_streams = static_cast<std::uint32_t>(10 + random.below(20));
        engine.load.queued_prefill_tokens = random.below(20000);
      }
      zone.run(std::chrono::milliseconds(250));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineDirectoryTest);

}  // namespace
}  // namespace cypresswall::routing
