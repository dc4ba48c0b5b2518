#include "cypresswall/routing/engine_groups.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

using membership::Member;
using membership::MemberState;

constexpr const char* kModel = "m";

common::NodeId nodeOf(int index) {
  return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000", 1};
}

/// The groups as computed by one node of a zone.
class GroupsOfNode {
 public:
  GroupsOfNode(int self, const std::vector<Member>& members, int engines)
      : membership_(nodeOf(self), "z"), table_(DirectorySettings{}) {
    membership_.setMembers(members);
    declare(engines);
    groups_ = std::make_unique<EngineGroups>(GroupSettings{}, membership_, table_);
    groups_->update();
  }

  /// \param new_build_from engines from this one on have another software build
  void declare(int engines, int new_build_from = std::numeric_limits<int>::max()) {
    configuration::FleetConfiguration fleet;
    for (int i = 0; i < engines; ++i) {
      const std::string name = "engine-" + std::to_string(i);
      testing::declareEngine(fleet, name, kModel);
      fleet.engines.at(name).initial_role =
          i % 3 == 0 ? engines::EngineRole::kPrefill : engines::EngineRole::kDecode;
      fleet.engines.at(name).build = i < new_build_from ? "v1" : "v2";
    }
    table_.declare(fleet, "z", {});
  }
  EngineGroups& groups() { return *groups_; }
  testing::SettableMembership& membership() { return membership_; }
  EngineTable& table() { return table_; }

 private:
  testing::SettableMembership membership_;
  EngineTable table_;
  std::unique_ptr<EngineGroups> groups_;
};

std::vector<Member> membersOf(int count) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back({nodeOf(i), "", MemberState::kAlive, ""});
  }
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.node < right.node; });
  return members;
}

class EngineGroupsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineGroupsTest);
  CPPUNIT_TEST(everyNodeRoutesInSmallZone);
  CPPUNIT_TEST(twoNodesRouteToEachEngineInLargeZone);
  CPPUNIT_TEST(allNodesComputeSameGroups);
  CPPUNIT_TEST(lostNodeMovesOnlyItsShare);
  CPPUNIT_TEST(addedEngineMovesFewPrompts);
  CPPUNIT_TEST(nodesWithFastLinksAreOwners);
  CPPUNIT_TEST(leavingAndSuspectNodesOwnNothing);
  CPPUNIT_TEST(equalPromptsGetEqualGroups);
  CPPUNIT_TEST(promptsFollowPrefillCapacity);
  CPPUNIT_TEST(promptsWithoutSharedPartFollowDecodeCapacity);
  CPPUNIT_TEST(unknownModelHasNoGroup);
  CPPUNIT_TEST(groupsOfABuild);
  CPPUNIT_TEST_SUITE_END();

 public:
  void everyNodeRoutesInSmallZone() {
    GroupsOfNode at(3, membersOf(24), 22);
    CPPUNIT_ASSERT(at.groups().everyNodeRoutes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{24}, at.groups().routingNodesPerEngine());
    CPPUNIT_ASSERT_EQUAL(std::size_t{22}, at.groups().routedEngineCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{23}, at.groups().otherRoutingNodes(0).size());
    CPPUNIT_ASSERT(at.groups().routesTo(21));
  }

  void twoNodesRouteToEachEngineInLargeZone() {
    constexpr int kEngines = 163;
    for (const int count : {25, 59, 295, 1000}) {
      std::map<EngineSlot, int> routing_nodes;
      std::map<EngineSlot, int> watchers;
      std::size_t most_engines = 0;
      for (int node = 0; node < count; ++node) {
        GroupsOfNode at(node, membersOf(count), kEngines);
        most_engines = std::max(most_engines, at.groups().routedEngineCount());
        for (const EngineSlot slot : at.table().roster()) {
          routing_nodes[slot] += at.groups().routesTo(slot) ? 1 : 0;
          watchers[slot] += at.groups().watcherOf(slot) == nodeOf(node) ? 1 : 0;
          CPPUNIT_ASSERT(at.groups().otherRoutingNodes(slot).size() <= 2);
        }
      }
      for (const auto& [slot, number] : routing_nodes) {
        CPPUNIT_ASSERT_EQUAL(2, number);
        CPPUNIT_ASSERT_EQUAL(1, watchers[slot]);
      }
      // With eleven groups, a node of a zone of many nodes owns few of them.
      CPPUNIT_ASSERT(count < 100 || most_engines <= 75);
    }
  }

  void allNodesComputeSameGroups() {
    GroupsOfNode first(0, membersOf(80), 60);
    GroupsOfNode second(57, membersOf(80), 60);
    common::SeededRandom random(1);
    for (common::PieceHash part = 1; part < 200; ++part) {
      const auto here = first.groups().candidateGroupsFor(kModel, part, random);
      const auto there = second.groups().candidateGroupsFor(kModel, part, random);
      CPPUNIT_ASSERT_EQUAL(here.size(), there.size());
      for (std::size_t i = 0; i < here.size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(here[i]->name, there[i]->name);
        CPPUNIT_ASSERT(here[i]->owners == there[i]->owners);
      }
    }
  }

  void lostNodeMovesOnlyItsShare() {
    const auto members = membersOf(100);
    GroupsOfNode at(0, members, 160);
    std::map<EngineSlot, common::NodeId> before;
    for (const EngineSlot slot : at.table().roster()) {
      before[slot] = at.groups().watcherOf(slot);
    }
    const common::NodeId lost = before.begin()->second;
    auto left = members;
    std::erase_if(left, [&lost](const Member& member) { return member.node == lost; });
    at.membership().setMembers(left);
    at.groups().update();
    for (const auto& [slot, watcher] : before) {
      const common::NodeId now = at.groups().watcherOf(slot);
      CPPUNIT_ASSERT(now != lost);
      CPPUNIT_ASSERT(watcher == lost || now == watcher || at.groups().routesTo(slot) ||
                     !at.groups().otherRoutingNodes(slot).empty());
    }
  }

  void addedEngineMovesFewPrompts() {
    GroupsOfNode fewer(0, membersOf(100), 160);
    GroupsOfNode more(0, membersOf(100), 161);
    common::SeededRandom random(1);
    int moved = 0;
    constexpr int kParts = 1000;
    for (common::PieceHash part = 1; part <= kParts; ++part) {
      moved += fewer.groups().candidateGroupsFor(kModel, part, random).front()->name !=
                       more.groups().candidateGroupsFor(kModel, part, random).front()->name
                   ? 1
                   : 0;
    }
    // One of eleven groups is new.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved < kParts / 5);
  }

  void nodesWithFastLinksAreOwners() {
    const auto members = membersOf(295);
    GroupsOfNode at(0, members, 163);
    for (int node = 0; node < 295; ++node) {
      at.membership().setLinkMegabits(nodeOf(node), node % 16 == 5 ? 200 : 20);
    }
    at.groups().update();
    for (const common::NodeId& owner : at.groups().allRoutingNodes()) {
      CPPUNIT_ASSERT(at.membership().digest(owner, membership::DigestTopic::kLinkMegabits) ==
                     std::optional<std::uint64_t>(200));
    }
    CPPUNIT_ASSERT(at.groups().allRoutingNodes().size() >= 8);
    // If there are too few nodes with fast links, others become owners too.
    for (int node = 0; node < 295; ++node) {
      at.membership().setLinkMegabits(nodeOf(node), node == 5 ? 200 : 20);
    }
    at.groups().update();
    CPPUNIT_ASSERT(at.groups().allRoutingNodes().size() >= 8);
  }

  void leavingAndSuspectNodesOwnNothing() {
    auto members = membersOf(60);
    GroupsOfNode at(0, members, 60);
    const common::NodeId gone = at.groups().allRoutingNodes().front();
    for (const MemberState state : {MemberState::kLeaving, MemberState::kSuspect}) {
      for (Member& member : members) {
        member.state = member.node == gone ? state : MemberState::kAlive;
      }
      at.membership().setMembers(members);
      at.groups().update();
      const auto& routing_nodes = at.groups().allRoutingNodes();
      CPPUNIT_ASSERT(std::find(routing_nodes.begin(), routing_nodes.end(), gone) ==
                     routing_nodes.end());
    }
  }

  void equalPromptsGetEqualGroups() {
    GroupsOfNode at(0, membersOf(295), 163);
    common::SeededRandom random(1);
    for (common::PieceHash part = 1; part < 50; ++part) {
      const auto candidates = at.groups().candidateGroupsFor(kModel, part, random);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, candidates.size());
      CPPUNIT_ASSERT(candidates[0] != candidates[1]);
      CPPUNIT_ASSERT(candidates == at.groups().candidateGroupsFor(kModel, part, random));
    }
  }

  /// Groups differ at random in their number of prefill engines; each must receive prompts in
  /// proportion to it, so that no group has a higher load than the others.
  void promptsFollowPrefillCapacity() {
    GroupsOfNode at(0, membersOf(295), 163);
    common::SeededRandom random(1);
    constexpr int kParts = 20000;
    std::map<std::string, int> prompts;
    std::map<std::string, std::set<EngineSlot>> computing;
    for (common::PieceHash part = 1; part <= kParts; ++part) {
      const EngineGroup& group = *at.groups().candidateGroupsFor(kModel, part, random).front();
      ++prompts[group.name];
      for (const EngineSlot slot : group.engines) {
        if (at.table().record(slot).declaration.initial_role == engines::EngineRole::kPrefill) {
          computing[group.name].insert(slot);
        }
      }
    }
    constexpr double kMean = kParts / 55.0;
    for (const auto& [group, count] : prompts) {
      const double share = count / static_cast<double>(computing[group].size()) / kMean;
      CPPUNIT_ASSERT_MESSAGE(group + " " + std::to_string(share), share > 0.8 && share < 1.2);
    }
  }

  void promptsWithoutSharedPartFollowDecodeCapacity() {
    GroupsOfNode at(0, membersOf(295), 163);
    common::SeededRandom random(1);
    constexpr int kPrompts = 20000;
    std::map<std::string, int> prompts;
    std::map<std::string, int> outputs;
    for (int i = 0; i < kPrompts; ++i) {
      const EngineGroup& group = *at.groups().candidateGroupsFor(kModel, 0, random).front();
      ++prompts[group.name];
      outputs[group.name] = static_cast<int>(
          std::count_if(group.engines.begin(), group.engines.end(), [&at](EngineSlot slot) {
            return at.table().record(slot).declaration.initial_role == engines::EngineRole::kDecode;
          }));
    }
    constexpr double kMean = kPrompts / 108.0;
    for (const auto& [group, count] : prompts) {
      const double share = count / static_cast<double>(outputs[group]) / kMean;
      CPPUNIT_ASSERT_MESSAGE(group + " " + std::to_string(share), share > 0.85 && share < 1.15);
    }
  }

  /// The last engines of a build are found whichever groups they are in. With one build, the
  /// candidates are the same as for a request that requires none.
  void groupsOfABuild() {
    GroupsOfNode at(0, membersOf(40), 160);
    common::SeededRandom random(1);
    for (common::PieceHash part = 1; part < 50; ++part) {
      CPPUNIT_ASSERT(at.groups().candidateGroupsFor(kModel, part, random) ==
                     at.groups().candidateGroupsFor(kModel, part, random, "v1"));
    }
    CPPUNIT_ASSERT(at.groups().candidateGroupsFor(kModel, 1, random, "v2").empty());
    at.declare(160, 157);
    at.groups().update();
    std::set<std::string> expected;
    for (const EngineSlot slot : at.table().roster()) {
      if (at.table().record(slot).declaration.build == "v2") {
        for (const EngineGroup* group :
             at.groups().candidateGroupsFor(kModel, 7, random, std::string("v2"))) {
          const auto& engines = at.groups().enginesOf(group->name);
          if (std::find(engines.begin(), engines.end(), slot) != engines.end()) {
            expected.insert(at.table().record(slot).declaration.name);
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, expected.size());
  }

  void unknownModelHasNoGroup() {
    GroupsOfNode at(0, membersOf(295), 163);
    common::SeededRandom random(1);
    CPPUNIT_ASSERT(at.groups().candidateGroupsFor("other", 7, random).empty());
    CPPUNIT_ASSERT(at.groups().candidateGroupsFor("other", 0, random).empty());
    CPPUNIT_ASSERT(!at.groups().owns("other/0"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineGroupsTest);

}  // namespace
}  // namespace cypresswall::routing
