/// The record of which build began an answer, in zones of up to 1,000 nodes. Guards against answers
/// that go on at another build because a record was lost, late or never sent, and against messages
/// while all engines have one build.
#include "cypresswall/answer_builds/fleet_answer_builds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cypresswall/membership/rendezvous.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "tests/support/engine_world.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char* kModel = "m";
const BuildsByModel kOneBuild = {{kModel, {"v1"}}};
const BuildsByModel kTwoBuilds = {{kModel, {"v1", "v2"}}};
const BuildsByModel kOtherBuild = {{kModel, {"v2"}}};

std::string requestNamed(std::uint64_t number) {
  std::string name = "a";
  name += std::to_string(number);
  return name;
}

constexpr std::size_t kSmallZone = 9;
/// Within this time all nodes of a zone that starts know the earlier builds.
constexpr common::Duration kUntilHistoryKnown = seconds(2);
/// Within this time the nodes have written what a restored store lacks.
constexpr common::Duration kUntilRewritten = seconds(3);
/// A node that starts asks four others, which answer.
constexpr std::uint64_t kMessagesOfAStart = 8;
/// So does a node at which an answer is taken up that it hasn't begun itself.
constexpr std::uint64_t kMessagesOfASearch = 8;

bool contains(const std::vector<std::size_t>& nodes, std::size_t node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

class Zone {
 public:
  /// \param without_store nodes whose calls to the store fail
  explicit Zone(std::size_t nodes, const std::vector<std::size_t>& without_store = {})
      : simulation_(1), platform_(simulation_, {.names_incarnation = true}), nodes_(nodes) {
    for (const std::size_t node : without_store) {
      simulation_.network().cutAddresses(addressOf(node),
                                         simulation::SimulatedPlatform::place().address);
    }
    for (std::size_t node = 0; node < nodes; ++node) {
      start(node);
    }
    updateMembers();
    run(kUntilHistoryKnown);
    messages_of_start_ = simulation_.network().deliveredMessages();
  }
  void start(std::size_t index) {
    auto& process = simulation_.start(addressOf(index), "z");
    Node& node = nodes_[index];
    node.process = &process;
    node.membership = &process.emplace<testing::SettableMembership>(process.id(), "z");
    auto& store =
        process.emplace<simulation::SimulatedObjectStore>(simulation_, process, platform_);
    node.builds =
        &process.emplace<FleetAnswerBuilds>(settings_, process.context(), *node.membership, store);
    node.builds->setListRefresh([this, &store, builds = node.builds](auto done) {
      store.get("engines", [this, builds, done](const auto& result) {
        const bool answered =
            result.ok() || result.failure().kind == object_store::StoreFailure::kNotFound;
        if (answered) {
          builds->enginesChanged(listed_);
        }
        done(answered);
      });
    });
    process.deliver([builds = node.builds] { builds->start(); });
  }
  void kill(std::size_t node) {
    nodes_[node].process->kill();
    nodes_[node].process = nullptr;
  }
  void restart(std::size_t node) {
    kill(node);
    start(node);
  }
  /// Kills all nodes at the same moment; they start again, before engines of these builds.
  void restartAll(const BuildsByModel& builds) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      restart(node);
    }
    updateMembers();
    setEngines(builds);
  }
  void updateMembers() {
    std::vector<common::NodeId> ids;
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        ids.push_back(node.process->id());
      }
    }
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        node.membership->setMembers(ids);
      }
    }
  }
  void setEngines(const BuildsByModel& builds) {
    listed_ = builds;
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        node.builds->enginesChanged(builds);
      }
    }
    run(milliseconds(100));
  }
  /// Changes the list of engines; all nodes but one see the change.
  void setEnginesUnseenBy(std::size_t out_of_step, const BuildsByModel& builds) {
    listed_ = builds;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (node != out_of_step) {
        nodes_[node].builds->enginesChanged(builds);
      }
    }
    run(milliseconds(100));
  }
  /// Changes the list of engines; the nodes from `first` on see the change.
  void setEnginesSeenFrom(std::size_t first, const BuildsByModel& builds) {
    listed_ = builds;
    for (std::size_t node = first; node < nodes_.size(); ++node) {
      nodes_[node].builds->enginesChanged(builds);
    }
    run(milliseconds(100));
  }
  void cutOffFromStore(std::size_t node) {
    simulation_.network().cutAddresses(addressOf(node),
                                       simulation::SimulatedPlatform::place().address);
  }
  /// Has a node hold these nodes for silent, and no longer for members.
  void setSilent(std::size_t at, const std::vector<std::size_t>& silent) {
    std::vector<common::NodeId> members;
    std::vector<common::NodeId> silent_ids;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      (contains(silent, node) ? silent_ids : members).push_back(nodes_[node].process->id());
    }
    nodes_[at].membership->setMembers(members);
    nodes_[at].membership->setSilent(silent_ids);
  }
  /// Has a node hold nobody for silent any more; its members stay.
  void forgetSilent(std::size_t at) { nodes_[at].membership->setSilent({}); }
  void cutOff(std::size_t cut) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const auto& address = nodes_[node].process->id().address;
      const auto& cut_address = nodes_[cut].process->id().address;
      if (node != cut) {
        simulation_.network().cutAddresses(address, cut_address);
        simulation_.network().cutAddresses(cut_address, address);
      }
    }
  }
  /// Cuts the first `side` nodes off from the others. No node holds another one for silent.
  void cutInTwo(std::size_t side) {
    for (std::size_t node = 0; node < side; ++node) {
      for (std::size_t other = side; other < nodes_.size(); ++other) {
        simulation_.network().cutAddresses(addressOf(node), addressOf(other));
        simulation_.network().cutAddresses(addressOf(other), addressOf(node));
      }
    }
  }
  void healAll() { simulation_.network().healAll(); }
  void runEarlierBuild(std::size_t earlier) {
    for (const Node& node : nodes_) {
      node.membership->setCapabilitiesUnknown(nodes_[earlier].process->id());
    }
    nodes_[earlier].process->context().dispatcher = {};
  }
  void run(common::Duration time) { simulation_.time().runFor(time); }
  FleetAnswerBuilds& at(std::size_t node) { return *nodes_[node].builds; }
  void began(std::size_t node, const std::string& request, const char* build) {
    at(node).began(kModel, request, build);
    run(milliseconds(50));
  }
  /// \return what the node finds within the time in which others must answer
  AnswerOrigin find(std::size_t node, const std::string& request) {
    std::vector<AnswerOrigin> origins;
    at(node).find(kModel, request, [&](const AnswerOrigin& origin) { origins.push_back(origin); });
    run(settings_.answer_limit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins.size());
    return origins.front();
  }
  void requireBuild(const char* build, std::size_t node, const std::string& request) {
    const AnswerOrigin origin = find(node, request);
    CPPUNIT_ASSERT_MESSAGE("node " + std::to_string(node) + " knows " + request, origin.known);
    CPPUNIT_ASSERT_EQUAL(std::string(build), *origin.build);
  }
  /// \return what the node finds within the time in which the store must answer
  AnswerOrigin findAtLength(std::size_t node, const std::string& request) {
    std::vector<AnswerOrigin> origins;
    at(node).find(kModel, request, [&](const AnswerOrigin& origin) { origins.push_back(origin); });
    run(settings_.confirmation_limit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins.size());
    return origins.front();
  }
  double counted(std::size_t node, const std::string& source) const {
    const auto& entries = nodes_[node].process->counters().entries();
    return entries.at("cypresswall_answer_builds_origins_total").by_label.at(source)->value();
  }
  void requireUnknown(std::size_t node, const std::string& request) {
    CPPUNIT_ASSERT(!find(node, request).known);
  }
  /// \return the nodes other than `sender` that are told of the answer, in the order of their ranks
  std::vector<std::size_t> keepersOf(const std::string& request, std::size_t sender) {
    return highestFor(request, sender, settings_.copies);
  }
  /// \return true if one of the nodes that `node` asks first is beyond a cut
  bool asksBeyond(std::size_t side, const std::string& request, std::size_t node) {
    const auto asked = highestFor(request, node, settings_.asked_nodes);
    return std::any_of(asked.begin(), asked.end(),
                       [side](std::size_t other) { return other >= side; });
  }
  std::vector<std::size_t> highestFor(const std::string& request, std::size_t sender,
                                      std::size_t count) {
    std::vector<common::NodeId> ids;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (node != sender) {
        ids.push_back(nodes_[node].process->id());
      }
    }
    std::vector<std::size_t> keepers;
    const auto name = std::to_string(answerKey(request));
    for (const auto& id : membership::rendezvousNodes(name, ids, count)) {
      const auto keeper = std::find_if(nodes_.begin(), nodes_.end(),
                                       [&](const Node& node) { return node.process->id() == id; });
      keepers.push_back(static_cast<std::size_t>(keeper - nodes_.begin()));
    }
    return keepers;
  }
  /// \return the number of messages since the zone has started
  std::uint64_t messages() {
    return simulation_.network().deliveredMessages() - messages_of_start_;
  }
  simulation::SimulatedPlatform& platform() { return platform_; }
  static common::Address addressOf(std::size_t index) {
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
  }
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    testing::SettableMembership* membership = nullptr;
    FleetAnswerBuilds* builds = nullptr;
  };

  AnswerBuildSettings settings_;
  simulation::Simulation simulation_;
  simulation::SimulatedPlatform platform_;
  std::vector<Node> nodes_;
  std::uint64_t messages_of_start_ = 0;
  /// The builds of the engines that the store lists.
  BuildsByModel listed_;
};

class FleetAnswerBuildsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetAnswerBuildsTest);
  CPPUNIT_TEST(nothingIsSentForOneBuild);
  CPPUNIT_TEST(onlyBuildIsConfirmedByFewMessages);
  CPPUNIT_TEST(recordIsFoundAtANodeThatKnowsOneBuild);
  CPPUNIT_TEST(peersTellOfASecondBuild);
  CPPUNIT_TEST(nodeThatReachesNobody);
  CPPUNIT_TEST(storeTellsOfASecondBuild);
  CPPUNIT_TEST(storeTellsOfABuildThatHasLeft);
  CPPUNIT_TEST(silentNodesAreAsked);
  CPPUNIT_TEST(silentNodesAreAskedAmongSeveralBuilds);
  CPPUNIT_TEST(nodesThatHaveJustStartedConfirmNothing);
  CPPUNIT_TEST(oneBuildAndANodeAlone);
  CPPUNIT_TEST(oneBuildAndSilentNodesWithoutTheStore);
  CPPUNIT_TEST(smallerSideOfACutWithoutTheStore);
  CPPUNIT_TEST(storeThatRefusesForAMoment);
  CPPUNIT_TEST(oneBuildAndTheLargerSideOfACutWithoutTheStore);
  CPPUNIT_TEST(smallerSideOfACutThatLasts);
  CPPUNIT_TEST(oneBuildAndPeersThatAreGone);
  CPPUNIT_TEST(manySearchesShareTheCallsToTheStore);
  CPPUNIT_TEST(messagesDoNotGrowWithTheZone);
  CPPUNIT_TEST(anyNodeFindsTheBuild);
  CPPUNIT_TEST(recordSurvivesItsNodeAndOneKeeper);
  CPPUNIT_TEST(restartedKeepersDoNotHideTheRecord);
  CPPUNIT_TEST(lostRecordIsUnknown);
  CPPUNIT_TEST(answersBegunBeforeTheSecondBuild);
  CPPUNIT_TEST(nodeThatSeesTheSecondBuildLate);
  CPPUNIT_TEST(departedBuildIsToldToNewNodes);
  CPPUNIT_TEST(departedBuildIsForgotten);
  CPPUNIT_TEST(departedBuildIsKnownAfterAllNodesRestart);
  CPPUNIT_TEST(buildThatLeftWhileNoNodeRan);
  CPPUNIT_TEST(oneBuildBeforeAndAfterAllNodesRestart);
  CPPUNIT_TEST(nothingIsGuessedUntilTheStoreIsRead);
  CPPUNIT_TEST(storeIsWrittenWhenABuildComesOrIsForgotten);
  CPPUNIT_TEST(unreadableStoredBuildsAreReplaced);
  CPPUNIT_TEST(storeRestoredBeforeABuildLeft);
  CPPUNIT_TEST(storeRestoredWhileNoNodeRan);
  CPPUNIT_TEST(oneBuildAndARestoredStore);
  CPPUNIT_TEST(nodesThatTheStoreRefuses);
  CPPUNIT_TEST(oneBuildAndNodesThatTheStoreRefuses);
  CPPUNIT_TEST(nodeWithoutPeersKnowsItsOwnAnswersOnly);
  CPPUNIT_TEST(earlierBuildsOfNodesAreNotAsked);
  CPPUNIT_TEST(callersThatNameNoRequest);
  CPPUNIT_TEST(manyAttemptsOfOneCaller);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Answers that begin cost nothing, and those that their node takes up neither.
  void nothingIsSentForOneBuild() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    for (std::size_t answer = 0; answer < 100; ++answer) {
      zone.began(answer % 9, requestNamed(answer), "v1");
      zone.requireBuild("v1", answer % 9, requestNamed(answer));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.messages());
    for (std::size_t answer = 0; answer < 100; ++answer) {
      zone.requireBuild("v1", (answer + 1) % 9, requestNamed(answer));
    }
    CPPUNIT_ASSERT_EQUAL(100 * kMessagesOfASearch, zone.messages());
    zone.restart(3);
    zone.at(3).enginesChanged(kOneBuild);
    zone.updateMembers();
    CPPUNIT_ASSERT_EQUAL(100 * kMessagesOfASearch, zone.messages());
    zone.run(seconds(1));
    zone.requireBuild("v1", 3, "a1");
    zone.requireBuild("v1", 3, "");
    zone.run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(kMessagesOfAStart + 102 * kMessagesOfASearch, zone.messages());
  }

  void onlyBuildIsConfirmedByFewMessages() {
    for (const std::size_t size : {9, 300, 1000}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.requireBuild("v1", size - 1, "a");
      CPPUNIT_ASSERT_EQUAL(kMessagesOfASearch, zone.messages());
      CPPUNIT_ASSERT_EQUAL(1.0, zone.counted(size - 1, "only-build-by-peers"));
    }
  }

  /// Guards against answers that go on at the only build that a node knows, since it has not heard
  /// of another one: the nodes that were told of the answer have.
  void recordIsFoundAtANodeThatKnowsOneBuild() {
    for (const std::size_t size : {9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.setEnginesUnseenBy(0, kTwoBuilds);
      for (std::uint64_t answer = 0; answer < 20; ++answer) {
        std::string request = requestNamed(answer);
        while (contains(zone.keepersOf(request, 1), 0)) {
          request += "b";
        }
        zone.began(1, request, "v2");
        zone.requireBuild("v2", 0, request);
      }
    }
  }

  /// A node that peers tell of a second build refuses what nobody has a record of.
  void peersTellOfASecondBuild() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setEnginesUnseenBy(0, kTwoBuilds);
    zone.requireUnknown(0, "a");
  }

  /// Guards against answers that go on at the only build that a node knows: it reaches no other
  /// one.
  void nodeThatReachesNobody() {
    for (const bool seen_as_silent : {false, true}) {
      Zone zone(9);
      zone.setEngines(kOneBuild);
      zone.cutOff(0);
      zone.cutOffFromStore(0);
      if (seen_as_silent) {
        zone.setSilent(0, {1, 2, 3, 4, 5, 6, 7, 8});
      }
      zone.setEnginesUnseenBy(0, kTwoBuilds);
      zone.began(1, "a", "v2");
      CPPUNIT_ASSERT(!zone.findAtLength(0, "a").known);
      zone.began(0, "b", "v1");
      zone.requireBuild("v1", 0, "b");
    }
  }

  /// The store tells a node that reaches no other one of the second build.
  void storeTellsOfASecondBuild() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.cutOff(0);
    zone.setEnginesUnseenBy(0, kTwoBuilds);
    zone.began(1, "a", "v2");
    CPPUNIT_ASSERT(!zone.findAtLength(0, "a").known);
  }

  /// The second build came and left while the node was out of step: the list does not have it, but
  /// the store names it as one that may have begun answers.
  void storeTellsOfABuildThatHasLeft() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.cutOff(0);
    zone.setSilent(0, {1, 2, 3, 4, 5, 6, 7, 8});
    zone.setEnginesUnseenBy(0, kTwoBuilds);
    zone.run(kUntilRewritten);
    zone.setEnginesUnseenBy(0, kOneBuild);
    CPPUNIT_ASSERT(!zone.findAtLength(0, "a").known);
  }

  /// The nodes that were told of an answer are silent for the node that asks, but reach it again.
  void silentNodesAreAsked() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setSilent(0, {2, 3, 4, 5});
    zone.setEnginesUnseenBy(0, kTwoBuilds);
    std::string request = "a";
    while (zone.keepersOf(request, 2).front() < 3 || zone.keepersOf(request, 2).front() > 5) {
      request += "a";
    }
    zone.began(2, request, "v2");
    zone.requireBuild("v2", 0, request);
  }

  /// Guards against refusals at a node that comes back from a cut and still holds the nodes that
  /// know the answer for silent.
  void silentNodesAreAskedAmongSeveralBuilds() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.began(1, "a", "v2");
    zone.run(milliseconds(100));
    zone.setSilent(0, {1, 2, 3, 4, 5, 6, 7, 8});
    zone.requireBuild("v2", 0, "a");
  }

  /// Guards against answers that go on at the only build that a node knows, since others confirm
  /// it that have just started and don't know the earlier builds yet.
  void nodesThatHaveJustStartedConfirmNothing() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setEnginesUnseenBy(0, kTwoBuilds);
    zone.began(1, "a", "v2");
    for (std::size_t node = 1; node < zone.size(); ++node) {
      zone.restart(node);
    }
    zone.updateMembers();
    CPPUNIT_ASSERT(!zone.findAtLength(0, "a").known);
  }

  /// With one build, a node that lost all others goes on once the store has confirmed it.
  void oneBuildAndANodeAlone() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.cutOff(0);
    CPPUNIT_ASSERT(zone.findAtLength(0, "a").known);
    zone.setSilent(0, {1, 2, 3, 4, 5, 6, 7, 8});
    zone.requireBuild("v1", 0, "b");
    CPPUNIT_ASSERT_EQUAL(2.0, zone.counted(0, "only-build-by-store"));
  }

  /// Guards against refusals while the store is away: most nodes are in reach.
  void oneBuildAndSilentNodesWithoutTheStore() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setSilent(0, {3});
    zone.kill(3);
    zone.platform().setDown(true);
    CPPUNIT_ASSERT(zone.findAtLength(0, "a").known);
    CPPUNIT_ASSERT_EQUAL(1.0, zone.counted(0, "only-build-without-store"));
  }

  /// Guards against answers that go on at another build: a node on the smaller side of a cut that
  /// nobody had noticed reached half of the nodes that it asked, and did without the store.
  void smallerSideOfACutWithoutTheStore() {
    constexpr std::uint64_t kAnswers = 20;
    for (const bool slow : {false, true}) {
      for (const std::size_t size : {9, 10, 60}) {
        Zone zone(size);
        zone.setEngines(kOneBuild);
        const std::size_t side = size / 2;
        zone.cutInTwo(side);
        if (slow) {
          zone.platform().setSlow(minutes(1));
        } else {
          zone.platform().setDown(true);
        }
        zone.setEnginesSeenFrom(side, kTwoBuilds);
        std::size_t gone_on = 0;
        for (std::uint64_t answer = 0; answer < kAnswers; ++answer) {
          const std::size_t node = answer % side;
          std::string request = requestNamed(answer);
          while (!zone.asksBeyond(side, request, node)) {
            request += "b";
          }
          zone.began(size - 1, request, "v2");
          gone_on += zone.findAtLength(node, request).known ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(size) + " nodes", std::size_t{0}, gone_on);
      }
    }
  }

  /// Guards against answers that go on at another build: one call that the store refused was taken
  /// for an outage, and the store knew of the other build.
  void storeThatRefusesForAMoment() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setSilent(0, {3});
    zone.kill(3);
    zone.setEnginesSeenFrom(zone.size(), kTwoBuilds);
    zone.platform().setDown(true);
    std::optional<AnswerOrigin> origin;
    zone.at(0).find(kModel, "a", [&](const AnswerOrigin& found) { origin = found; });
    zone.run(milliseconds(300));
    zone.platform().setDown(false);
    zone.run(milliseconds(700));
    CPPUNIT_ASSERT(origin && !origin->known);
  }

  /// Guards against refusals at nodes that are in touch with most others.
  void oneBuildAndTheLargerSideOfACutWithoutTheStore() {
    constexpr std::uint64_t kAnswers = 20;
    for (const std::size_t size : {3, 9, 10, 60}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      const std::size_t side = (size - 1) / 2;
      zone.cutInTwo(side);
      zone.platform().setDown(true);
      for (std::uint64_t answer = 0; answer < kAnswers; ++answer) {
        const std::size_t node = side + answer % (size - side);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + " nodes",
                               zone.findAtLength(node, requestNamed(answer)).known);
      }
    }
  }

  /// Guards against answers that go on at another build: the membership forgets nodes that have
  /// been silent for long, and a side of a cut then took itself for the whole zone.
  void smallerSideOfACutThatLasts() {
    const std::vector<std::vector<std::size_t>> silent_nodes = {{1, 2, 3, 4, 5, 6, 7, 8},
                                                                {3, 4, 5, 6, 7, 8}};
    for (const auto& silent : silent_nodes) {
      Zone zone(9);
      zone.setEngines(kOneBuild);
      const std::size_t side = zone.size() - silent.size();
      zone.cutInTwo(side);
      zone.platform().setDown(true);
      zone.setSilent(0, silent);
      zone.run(minutes(1));
      zone.forgetSilent(0);
      zone.run(minutes(1));
      zone.setEnginesSeenFrom(side, kTwoBuilds);
      zone.began(8, "a", "v2");
      CPPUNIT_ASSERT(!zone.findAtLength(0, "a").known);
      zone.setEnginesSeenFrom(0, kOneBuild);
      zone.run(minutes(3));
      zone.platform().setDown(false);
      CPPUNIT_ASSERT(zone.findAtLength(0, "b").known);
      zone.healAll();
      zone.platform().setDown(true);
      zone.updateMembers();
      zone.requireBuild("v1", 0, "c");
    }
  }

  /// Guards against refusals at nodes whose peers have ended for good.
  void oneBuildAndPeersThatAreGone() {
    Zone zone(3);
    zone.setEngines(kOneBuild);
    zone.setSilent(0, {2});
    zone.kill(2);
    zone.run(minutes(1));
    zone.forgetSilent(0);
    zone.platform().setDown(true);
    zone.requireBuild("v1", 0, "a");
    zone.kill(1);
    zone.updateMembers();
    zone.requireBuild("v1", 0, "b");
    CPPUNIT_ASSERT_EQUAL(1.0, zone.counted(0, "only-build"));
  }

  void manySearchesShareTheCallsToTheStore() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.setSilent(0, {3});
    zone.kill(3);
    zone.run(seconds(1));
    const auto before = zone.platform().store().ledger().reads;
    std::size_t found = 0;
    for (std::uint64_t answer = 0; answer < 100; ++answer) {
      zone.at(0).find(kModel, requestNamed(answer),
                      [&](const AnswerOrigin& origin) { found += origin.known ? 1 : 0; });
    }
    zone.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, found);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, zone.platform().store().ledger().reads - before);
  }

  void messagesDoNotGrowWithTheZone() {
    constexpr std::uint64_t kAnswers = 50;
    for (const std::size_t size : {9, 300, 1000}) {
      Zone zone(size);
      zone.setEngines(kTwoBuilds);
      for (std::uint64_t answer = 0; answer < kAnswers; ++answer) {
        zone.began(answer % size, requestNamed(answer), "v1");
      }
      CPPUNIT_ASSERT_EQUAL(2 * kAnswers, zone.messages());
      zone.requireBuild("v1", size - 1, "a1");
      CPPUNIT_ASSERT(zone.messages() <= 2 * kAnswers + 8);
    }
  }

  void anyNodeFindsTheBuild() {
    for (const std::size_t size : {2, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kTwoBuilds);
      zone.began(0, "a", "v1");
      zone.began(1, "b", "v2");
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireBuild("v1", node, "a");
        zone.requireBuild("v2", node, "b");
      }
    }
  }

  void recordSurvivesItsNodeAndOneKeeper() {
    for (std::uint64_t answer = 0; answer < 20; ++answer) {
      const std::string request = requestNamed(answer);
      Zone zone(9);
      zone.setEngines(kTwoBuilds);
      zone.began(0, request, "v2");
      const auto keepers = zone.keepersOf(request, 0);
      zone.kill(0);
      zone.kill(keepers.front());
      const std::size_t asking = keepers.back() == 8 ? 7 : 8;
      const std::size_t node = asking == keepers.front() ? 6 : asking;
      if (node == keepers.back()) {
        continue;
      }
      zone.requireBuild("v2", node, request);
      zone.updateMembers();
      zone.requireBuild("v2", node, request);
    }
  }

  /// Nodes that ended are back under their addresses, and may rank highest, but know nothing.
  void restartedKeepersDoNotHideTheRecord() {
    for (std::uint64_t answer = 0; answer < 20; ++answer) {
      const std::string request = requestNamed(answer);
      Zone zone(9);
      zone.setEngines(kTwoBuilds);
      zone.began(0, request, "v2");
      const auto keepers = zone.keepersOf(request, 0);
      zone.restart(0);
      zone.restart(keepers.front());
      zone.updateMembers();
      zone.setEngines(kTwoBuilds);
      for (std::size_t node = 0; node < zone.size(); ++node) {
        zone.requireBuild("v2", node, request);
      }
    }
  }

  void lostRecordIsUnknown() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.began(0, "a", "v1");
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.restart(node);
    }
    zone.updateMembers();
    zone.setEngines(kTwoBuilds);
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.requireUnknown(node, "a");
    }
  }

  /// Their records are sent once a second build has appeared.
  void answersBegunBeforeTheSecondBuild() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.began(0, "a", "v1");
    zone.setEngines(kTwoBuilds);
    zone.kill(0);
    zone.updateMembers();
    for (std::size_t node = 1; node < zone.size(); ++node) {
      zone.requireBuild("v1", node, "a");
    }
  }

  /// A node at which the second build's engines are not listed yet learns of it by the records that
  /// others send to it.
  void nodeThatSeesTheSecondBuildLate() {
    Zone zone(3);
    zone.setEngines(kOneBuild);
    zone.at(0).enginesChanged(kTwoBuilds);
    zone.at(1).enginesChanged(kTwoBuilds);
    zone.began(0, "a", "v2");
    zone.requireBuild("v2", 2, "a");
  }

  /// A node that starts after the last engine of a build has left can't have seen that build.
  void departedBuildIsToldToNewNodes() {
    for (const std::size_t size : {9, 300}) {
      Zone zone(size);
      zone.setEngines(kTwoBuilds);
      zone.began(0, "a", "v1");
      zone.setEngines(kOtherBuild);
      zone.restart(5);
      zone.at(5).enginesChanged(kOtherBuild);
      const auto before = zone.messages();
      zone.updateMembers();
      zone.run(milliseconds(200));
      CPPUNIT_ASSERT(zone.messages() - before <= kMessagesOfAStart);
      zone.requireBuild("v1", 5, "a");
      zone.requireUnknown(5, "b");
    }
  }

  void departedBuildIsForgotten() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.setEngines(kOtherBuild);
    zone.run(seconds(119));
    zone.requireUnknown(4, "a");
    zone.run(seconds(2));
    zone.requireBuild("v2", 4, "a");
    const auto before = zone.messages();
    zone.began(4, "b", "v2");
    CPPUNIT_ASSERT_EQUAL(before, zone.messages());
  }

  /// Guards against answers that go on at another build: the one that had begun them left the fleet
  /// just before all nodes ended, and the only one listed afterwards was taken for it.
  void departedBuildIsKnownAfterAllNodesRestart() {
    for (const std::size_t size : {1, 2, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.setEngines(kTwoBuilds);
      zone.setEngines(kOtherBuild);
      zone.restartAll(kOtherBuild);
      zone.run(kUntilHistoryKnown);
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireUnknown(node, "a");
      }
      zone.began(0, "b", "v2");
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireBuild("v2", node, "b");
      }
      zone.run(minutes(2));
      zone.requireBuild("v2", size - 1, "c");
    }
  }

  /// The store still names the build of before.
  void buildThatLeftWhileNoNodeRan() {
    Zone zone(9);
    zone.setEngines(kOneBuild);
    zone.began(0, "a", "v1");
    zone.restartAll(kOtherBuild);
    zone.run(kUntilHistoryKnown);
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.requireUnknown(node, "a");
    }
  }

  void oneBuildBeforeAndAfterAllNodesRestart() {
    for (const std::size_t size : {1, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.restartAll(kOneBuild);
      zone.run(kUntilHistoryKnown);
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireBuild("v1", node, "a");
      }
    }
  }

  void nothingIsGuessedUntilTheStoreIsRead() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.setEngines(kOtherBuild);
    zone.platform().setDown(true);
    zone.restartAll(kOtherBuild);
    zone.began(2, "b", "v2");
    for (std::size_t node = 0; node < zone.size(); ++node) {
      std::optional<AnswerOrigin> origin;
      zone.at(node).find(kModel, "a", [&](const AnswerOrigin& found) { origin = found; });
      zone.run(seconds(2));
      CPPUNIT_ASSERT(origin && !origin->known);
    }
    zone.requireBuild("v2", 2, "b");
    zone.platform().setDown(false);
    zone.run(seconds(10));
    zone.requireUnknown(4, "a");
    zone.requireBuild("v2", 2, "b");
  }

  void storeIsWrittenWhenABuildComesOrIsForgotten() {
    Zone zone(9);
    const auto version = [&] { return zone.platform().store().peek("answer-builds/z").version; };
    zone.setEngines(kOneBuild);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, version());
    zone.setEngines(kTwoBuilds);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, version());
    zone.setEngines(kOtherBuild);
    zone.run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, version());
    zone.run(seconds(70));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, version());
  }

  void unreadableStoredBuildsAreReplaced() {
    Zone zone(3);
    zone.setEngines(kOneBuild);
    zone.platform().store().compareAndSet({"answer-builds/z", 1, "\xff{", "another"},
                                          [](const auto&) {});
    zone.restartAll(kOneBuild);
    zone.run(kUntilHistoryKnown);
    zone.requireBuild("v1", 1, "a");
    zone.setEngines(kTwoBuilds);
    zone.restartAll(kOtherBuild);
    zone.run(kUntilHistoryKnown);
    zone.requireUnknown(1, "a");
  }

  /// Guards against answers that go on at another build: the copy from which the store was restored
  /// did not name the build that began them, and nobody wrote it again.
  void storeRestoredBeforeABuildLeft() {
    for (const std::size_t size : {1, 2, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.setEngines(kTwoBuilds);
      zone.began(0, "a", "v2");
      zone.platform().restore(1);
      zone.run(kUntilRewritten);
      zone.setEngines(kOneBuild);
      zone.restartAll(kOneBuild);
      zone.run(kUntilHistoryKnown);
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireUnknown(node, "a");
      }
    }
  }

  /// Guards against answers that go on at another build: neither the copy from which the store was
  /// restored nor the list of engines named the build that began them.
  void storeRestoredWhileNoNodeRan() {
    for (const std::size_t size : {1, 2, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.setEngines(kTwoBuilds);
      zone.began(0, "a", "v2");
      zone.platform().restore(1);
      for (int restarts = 0; restarts < 2; ++restarts) {
        zone.restartAll(kOneBuild);
        zone.run(kUntilHistoryKnown);
        for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
          zone.requireUnknown(node, "a");
        }
      }
      zone.began(0, "b", "v1");
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireBuild("v1", node, "b");
      }
      zone.run(minutes(2));
      zone.requireBuild("v1", size - 1, "c");
    }
  }

  /// What the nodes know is written to the restored store, and holds at their restart.
  void oneBuildAndARestoredStore() {
    for (const std::size_t size : {1, 9, 300}) {
      Zone zone(size);
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.platform().restore(1);
      zone.run(kUntilRewritten);
      zone.restartAll(kOneBuild);
      zone.run(kUntilHistoryKnown);
      for (std::size_t node = 0; node < std::min<std::size_t>(size, 20); ++node) {
        zone.requireBuild("v1", node, "a");
      }
    }
  }

  /// Guards against answers that go on at another build: the nodes that were to write the builds
  /// never reached the store, and its lack of builds was taken for a first start.
  void nodesThatTheStoreRefuses() {
    for (std::size_t refused = 0; refused < kSmallZone; ++refused) {
      Zone zone(kSmallZone, {refused, (refused + 3) % kSmallZone});
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.setEngines(kTwoBuilds);
      zone.run(kUntilRewritten);
      zone.setEngines(kOtherBuild);
      zone.restartAll(kOtherBuild);
      zone.run(kUntilRewritten);
      for (std::size_t node = 0; node < zone.size(); ++node) {
        zone.requireUnknown(node, "a");
      }
    }
  }

  /// Guards against the refusal of all answers that are taken up while one node can't read the
  /// store.
  void oneBuildAndNodesThatTheStoreRefuses() {
    for (std::size_t refused = 0; refused < kSmallZone; ++refused) {
      Zone zone(kSmallZone, {refused, (refused + 3) % kSmallZone});
      zone.setEngines(kOneBuild);
      zone.began(0, "a", "v1");
      zone.restartAll(kOneBuild);
      zone.run(kUntilHistoryKnown);
      for (std::size_t node = 0; node < zone.size(); ++node) {
        zone.requireBuild("v1", node, "a");
      }
    }
  }

  void nodeWithoutPeersKnowsItsOwnAnswersOnly() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.began(0, "a", "v1");
    std::string other = "b";
    while (contains(zone.keepersOf(other, 1), 0)) {
      other += "b";
    }
    zone.began(1, other, "v1");
    zone.cutOff(0);
    zone.requireBuild("v1", 0, "a");
    zone.requireUnknown(0, other);
    Zone alone(1);
    alone.setEngines(kTwoBuilds);
    alone.requireUnknown(0, "a");
  }

  void earlierBuildsOfNodesAreNotAsked() {
    Zone zone(4);
    zone.runEarlierBuild(2);
    zone.runEarlierBuild(3);
    zone.setEngines(kTwoBuilds);
    zone.began(0, "a", "v2");
    zone.requireBuild("v2", 1, "a");
  }

  void callersThatNameNoRequest() {
    Zone zone(3);
    zone.setEngines(kTwoBuilds);
    zone.began(0, "", "v1");
    zone.requireUnknown(0, "");
  }

  void manyAttemptsOfOneCaller() {
    Zone zone(9);
    zone.setEngines(kTwoBuilds);
    zone.began(0, "a", "v1");
    for (std::size_t attempt = 0; attempt < 40; ++attempt) {
      zone.requireBuild("v1", (attempt * 5 + 1) % zone.size(), "a");
      zone.run(seconds(2));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAnswerBuildsTest);

}  // namespace
}  // namespace cypresswall::answer_builds
