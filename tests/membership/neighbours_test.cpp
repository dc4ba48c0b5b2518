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
  CPPUNIT_TEST(smallZoneIsFullMesh);
  CPPUNIT_TEST(successorsAndPredecessorsMatch);
  CPPUNIT_TEST(updateReachesAllInFewHops);
  CPPUNIT_TEST(broadcastTreeReachesEachNodeOnce);
  CPPUNIT_TEST(broadcastTreeWithoutRootIsEmpty);
  CPPUNIT_TEST_SUITE_END();

 public:
  void smallZoneIsFullMesh() {
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
      std::map<common::NodeId, std::set<common::NodeId>> expected;
      std::map<common::NodeId, std::set<common::NodeId>> received;
      for (std::size_t i = 0; i < count; ++i) {
        const Neighbours found = findNeighbours(settings, nodes[i], others(nodes, i));
        CPPUNIT_ASSERT(!found.mesh);
        CPPUNIT_ASSERT_EQUAL(settings.heartbeat_receivers, found.successors.size());
        CPPUNIT_ASSERT(found.update_receivers.size() <= 1 + settings.shortcut_receivers);
        expected[nodes[i]].insert(found.predecessors.begin(), found.predecessors.end());
        for (const auto& receiver : found.successors) {
          received[receiver].insert(nodes[i]);
        }
      }
      CPPUNIT_ASSERT(expected == received);
    }
  }

  void updateReachesAllInFewHops() {
    constexpr int kHops = 10;
    const NeighbourSettings settings;
    for (const std::size_t count : {25, 88, 295, 1000}) {
      const auto nodes = nodesOf(count);
      std::map<common::NodeId, std::vector<common::NodeId>> receivers;
      for (std::size_t i = 0; i < count; ++i) {
        receivers[nodes[i]] = findNeighbours(settings, nodes[i], others(nodes, i)).update_receivers;
      }
      std::set<common::NodeId> reached = {nodes.front()};
      for (int hop = 0; hop < kHops; ++hop) {
        const auto senders = reached;
        for (const auto& sender : senders) {
          reached.insert(receivers[sender].begin(), receivers[sender].end());
        }
      }
      CPPUNIT_ASSERT_EQUAL(count, reached.size());
    }
  }

  void broadcastTreeReachesEachNodeOnce() {
    testing::requireProperty("a broadcast tree reaches each node once", 60, [] {
      const auto count = *rc::gen::inRange<std::size_t>(1, 320);
      const auto fan_out = *rc::gen::inRange<std::size_t>(1, 30);
      const auto members = membersOf(nodesOf(count));
      const auto& root = members[*rc::gen::inRange<std::size_t>(0, count)].node;
      std::multiset<common::NodeId> reached;
      for (const Member& member : members) {
        const auto children = treeChildren(root, member.node, members, fan_out);
        RC_ASSERT(children.size() <= fan_out);
        reached.insert(children.begin(), children.end());
      }
      RC_ASSERT(reached.size() == count - 1);
      RC_ASSERT(std::set<common::NodeId>(reached.begin(), reached.end()).size() == count - 1);
      RC_ASSERT(reached.count(root) == 0);
    });
  }

  void broadcastTreeWithoutRootIsEmpty() {
    const auto members = membersOf(nodesOf(40));
    const common::NodeId non_member{"10.9.9.9:7000", 1};
    CPPUNIT_ASSERT(treeChildren(non_member, members[0].node, members, 4).empty());
    CPPUNIT_ASSERT(treeChildren(members[0].node, non_member, members, 4).empty());
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
