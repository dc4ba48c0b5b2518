#include "cypresswall/membership/neighbours.h"

#include <algorithm>
#include <map>
#include <set>

#include "cypresswall/membership/broadcast_tree.h"
#include "tests/support/property.h"

namespace cypresswall::membership {
namespace {

std::vector<common::NodeId> nodesOf(std::size_t count) {
  std::vector<common::NodeId> nodes;
  for (std::size_t i = 0; i < count; ++i) {
    nodes.push_back(
        {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000", 1});
  }
  return nodes;
}

std::vector<common::NodeId> others(const std::vector<common::NodeId>& nodes, std::size_t index) {
  std::vector<common::NodeId> peers = nodes;
  peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  return peers;
}

class NeighboursTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NeighboursTest);
  CPPUNIT_TEST(allHearAllInASmallZone);
  CPPUNIT_TEST(successorsAndPredecessorsMatch);
  CPPUNIT_TEST(newsReachesAllInFewHops);
  CPPUNIT_TEST(aTreeTellsEachNodeOnce);
  CPPUNIT_TEST(aTreeWithoutItsRootTellsNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void allHearAllInASmallZone() {
    const NeighbourSettings settings;
    const auto nodes = nodesOf(settings.mesh_limit);
    const Neighbours found = findNeighbours(settings, nodes[3], others(nodes, 3));
    CPPUNIT_ASSERT(found.mesh);
    CPPUNIT_ASSERT_EQUAL(nodes.size() - 1, found.successors.size());
    CPPUNIT_ASSERT_EQUAL(nodes.size() - 1, found.predecessors.size());
    CPPUNIT_ASSERT_EQUAL(nodes.size() - 1, found.update_receivers.size());
  }

  void successorsAndPredecessorsMatch() {
    const NeighbourSettings settings;
    for (const std::size_t count : {25, 59, 295, 1000}) {
      const auto nodes = nodesOf(count);
      std::map<common::NodeId, std::set<common::NodeId>> expects;
      std::map<common::NodeId, std::set<common::NodeId>> gets;
      for (std::size_t i = 0; i < count; ++i) {
        const Neighbours found = findNeighbours(settings, nodes[i], others(nodes, i));
        CPPUNIT_ASSERT(!found.mesh);
        CPPUNIT_ASSERT_EQUAL(settings.heartbeat_receivers, found.successors.size());
        CPPUNIT_ASSERT(found.update_receivers.size() <= 1 + settings.shortcut_receivers);
        expects[nodes[i]].insert(found.predecessors.begin(), found.predecessors.end());
        for (const auto& receiver : found.successors) {
          gets[receiver].insert(nodes[i]);
        }
      }
      CPPUNIT_ASSERT(expects == gets);
    }
  }

  void newsReachesAllInFewHops() {
    constexpr int kHops = 10;
    const NeighbourSettings settings;
    for (const std::size_t count : {25, 88, 295, 1000}) {
      const auto nodes = nodesOf(count);
      std::map<common::NodeId, std::vector<common::NodeId>> receivers;
      for (std::size_t i = 0; i < count; ++i) {
        receivers[nodes[i]] = findNeighbours(settings, nodes[i], others(nodes, i)).update_receivers;
      }
      std::set<common::NodeId> told = {nodes.front()};
      for (int hop = 0; hop < kHops; ++hop) {
        const auto tellers = told;
        for (const auto& teller : tellers) {
          told.insert(receivers[teller].begin(), receivers[teller].end());
        }
      }
      CPPUNIT_ASSERT_EQUAL(count, told.size());
    }
  }

  void aTreeTellsEachNodeOnce() {
    testing::requireProperty("a tree tells each node once", 60, [] {
      const auto count = *rc::gen::inRange<std::size_t>(1, 320);
      const auto fan_out = *rc::gen::inRange<std::size_t>(1, 30);
      const auto members = membersOf(nodesOf(count));
      const auto& root = members[*rc::gen::inRange<std::size_t>(0, count)].node;
      std::multiset<common::NodeId> told;
      for (const Member& member : members) {
        const auto children = treeChildren(root, member.node, members, fan_out);
        RC_ASSERT(children.size() <= fan_out);
        told.insert(children.begin(), children.end());
      }
      RC_ASSERT(told.size() == count - 1);
      RC_ASSERT(std::set<common::NodeId>(told.begin(), told.end()).size() == count - 1);
      RC_ASSERT(told.count(root) == 0);
    });
  }

  void aTreeWithoutItsRootTellsNobody() {
    const auto members = membersOf(nodesOf(40));
    const common::NodeId stranger{"10.9.9.9:7000", 1};
    CPPUNIT_ASSERT(treeChildren(stranger, members[0].node, members, 4).empty());
    CPPUNIT_ASSERT(treeChildren(members[0].node, stranger, members, 4).empty());
    const common::NodeId later_incarnation{members[0].node.address, 2};
    CPPUNIT_ASSERT(treeChildren(later_incarnation, members[0].node, members, 4).empty());
  }

 private:
  static std::vector<Member> membersOf(std::vector<common::NodeId> nodes) {
    std::sort(nodes.begin(), nodes.end());
    std::vector<Member> members;
    members.reserve(nodes.size());
    for (const auto& node : nodes) {
      members.push_back({node, "", MemberState::kAlive, ""});
    }
    return members;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighboursTest);

}  // namespace
}  // namespace cypresswall::membership
