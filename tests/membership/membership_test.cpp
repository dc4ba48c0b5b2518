#include "cypresswall/membership/membership.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::membership {
namespace {

using namespace std::chrono_literals;

constexpr const char* kZone = "hall-a";

common::Address addressOf(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }
std::string machineOf(int index) { return "machine-" + std::to_string(index); }

/// Nodes of one zone; the seeds are the addresses of the first two nodes.
class MembershipZone {
 public:
  explicit MembershipZone(std::uint64_t seed) : world(seed) {}

  Membership& start(int index) {
    const common::NodeId node{addressOf(index), ++next_incarnation_};
    memberships.erase(index);
    auto& process = world.spawn(node, kZone);
    MembershipSettings settings;
    settings.machine = machineOf(index);
    settings.gateway_address = "10.0.0." + std::to_string(index) + ":8000";
    settings.seeds = {addressOf(1), addressOf(2)};
    auto membership = std::make_unique<Membership>(settings, process.context(), process);
    membership->start();
    return *(memberships[index] = std::move(membership));
  }
  void startAll(int count) {
    for (int index = 1; index <= count; ++index) {
      world.machines.push_back({machineOf(index),
                                kZone,
                                object_store::MachineState::kLive,
                                {"10.0.0." + std::to_string(index)}});
      start(index);
    }
  }
  void kill(int index) {
    memberships.erase(index);
    world.kill(addressOf(index));
  }
  bool everyNodeSees(std::size_t count) const {
    return std::all_of(memberships.begin(), memberships.end(),
                       [&](const auto& entry) { return entry.second->members().size() == count; });
  }
  static MemberState stateOf(const Membership& view, int index) {
    for (const auto& member : view.members()) {
      if (member.node.address == addressOf(index)) {
        return member.state;
      }
    }
    return MemberState::kDead;
  }

  testing::VirtualWorld world;
  std::map<int, std::unique_ptr<Membership>> memberships;

 private:
  std::uint64_t next_incarnation_ = 0;
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(nodesFindEachOtherThroughSeeds);
  CPPUNIT_TEST(silentNodeIsSuspectedThenDead);
  CPPUNIT_TEST(newerIncarnationReplacesOlder);
  CPPUNIT_TEST(pausedNodeKeepsItsPeersAndReturns);
  CPPUNIT_TEST(partitionsMergeAfterHealing);
  CPPUNIT_TEST(findsPeersThroughMachineListWithoutSeeds);
  CPPUNIT_TEST(leavingStateSpreadsAtOnce);
  CPPUNIT_TEST(digestsSpread);
  CPPUNIT_TEST(oneNodeReadsTheMachineList);
  CPPUNIT_TEST(leavingMachineReachesAllNodesInTime);
  CPPUNIT_TEST(readerWithoutListAccessIsReplaced);
  CPPUNIT_TEST(nodeOnGoneMachineIsConfirmedDead);
  CPPUNIT_TEST(controlBytesStayInBudget);
  CPPUNIT_TEST(viewsAgreeAfterAnyFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nodesFindEachOtherThroughSeeds() {
    MembershipZone zone(1);
    zone.startAll(13);
    zone.world.runFor(2s);
    CPPUNIT_ASSERT(zone.everyNodeSees(13));
    const auto members = zone.memberships.at(5)->members();
    CPPUNIT_ASSERT(!members.front().gateway_address.empty());
    CPPUNIT_ASSERT(members.front().state == MemberState::kAlive);
  }

  void silentNodeIsSuspectedThenDead() {
    MembershipZone zone(2);
    zone.startAll(4);
    zone.world.runFor(2s);
    zone.kill(3);
    zone.world.runFor(1900ms);
    CPPUNIT_ASSERT(MembershipZone::stateOf(*zone.memberships.at(1), 3) == MemberState::kSuspect);
    zone.world.runFor(1500ms);
    CPPUNIT_ASSERT(zone.everyNodeSees(3));
    CPPUNIT_ASSERT(!zone.memberships.at(1)->confirmedDead({addressOf(3), 3}));
  }

  void newerIncarnationReplacesOlder() {
    MembershipZone zone(3);
    zone.startAll(4);
    zone.world.runFor(2s);
    zone.start(2);
    zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.everyNodeSees(4));
    CPPUNIT_ASSERT(zone.memberships.at(4)->confirmedDead({addressOf(2), 2}));
    CPPUNIT_ASSERT(!zone.memberships.at(4)->confirmedDead({addressOf(2), 5}));
  }

  void pausedNodeKeepsItsPeersAndReturns() {
    MembershipZone zone(4);
    zone.startAll(4);
    zone.world.runFor(2s);
    zone.world.pause(addressOf(2), 10s);
    zone.world.runFor(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zone.memberships.at(1)->members().size());
    zone.world.runFor(5500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.memberships.at(2)->members().size());
    zone.world.runFor(500ms);
    CPPUNIT_ASSERT(zone.everyNodeSees(4));
  }

  void partitionsMergeAfterHealing() {
    MembershipZone zone(5);
    zone.startAll(6);
    zone.world.runFor(2s);
    for (const int index : {4, 5, 6}) {
      zone.world.setGroup(addressOf(index), 1);
    }
    zone.world.runFor(60s);
    CPPUNIT_ASSERT(zone.everyNodeSees(3));
    zone.world.healNetwork();
    zone.world.runFor(3s);
    CPPUNIT_ASSERT(zone.everyNodeSees(6));
  }

  void findsPeersThroughMachineListWithoutSeeds() {
    MembershipZone zone(12);
    zone.startAll(5);
    zone.kill(1);
    zone.kill(2);
    zone.start(3);
    zone.start(4);
    zone.start(5);
    zone.world.runFor(10s);
    CPPUNIT_ASSERT(zone.everyNodeSees(3));
  }

  void leavingStateSpreadsAtOnce() {
    MembershipZone zone(6);
    zone.startAll(5);
    zone.world.runFor(2s);
    zone.memberships.at(3)->announceLeaving();
    zone.world.runFor(20ms);
    for (const auto& [index, membership] : zone.memberships) {
      CPPUNIT_ASSERT(MembershipZone::stateOf(*membership, 3) == MemberState::kLeaving);
    }
    zone.memberships.at(3)->announceStopped();
    zone.world.runFor(20ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.memberships.at(1)->members().size());
  }

  void digestsSpread() {
    MembershipZone zone(7);
    zone.startAll(3);
    zone.world.runFor(2s);
    zone.memberships.at(2)->setDigest(DigestTopic::kConfigurationVersion, 42);
    zone.world.runFor(20ms);
    const auto& view = *zone.memberships.at(3);
    const auto value = view.digest({addressOf(2), 2}, DigestTopic::kConfigurationVersion);
    CPPUNIT_ASSERT(value == std::optional<std::uint64_t>(42));
    CPPUNIT_ASSERT(!view.digest({addressOf(1), 1}, DigestTopic::kConfigurationVersion));
  }

  void oneNodeReadsTheMachineList() {
    MembershipZone zone(8);
    zone.startAll(13);
    zone.world.runFor(5s);
    zone.world.machine_list_reads = 0;
    zone.world.runFor(10s);
    CPPUNIT_ASSERT(zone.world.machine_list_reads >= 18);
    CPPUNIT_ASSERT(zone.world.machine_list_reads <= 21);
  }

  void leavingMachineReachesAllNodesInTime() {
    MembershipZone zone(9);
    zone.startAll(13);
    zone.world.runFor(5s);
    zone.kill(1);  // the reader
    zone.world.machines[7].state = object_store::MachineState::kLeaving;
    zone.world.runFor(2500ms);
    for (const auto& [index, membership] : zone.memberships) {
      CPPUNIT_ASSERT(membership->machineLeaving(machineOf(8)));
      CPPUNIT_ASSERT(membership->addressLeaving("10.0.0.8:9999"));
      CPPUNIT_ASSERT(!membership->addressLeaving("10.0.0.9"));
      CPPUNIT_ASSERT(MembershipZone::stateOf(*membership, 8) == MemberState::kLeaving);
    }
    CPPUNIT_ASSERT(zone.memberships.at(8)->leaving());
  }

  void readerWithoutListAccessIsReplaced() {
    MembershipZone zone(13);
    zone.startAll(5);
    zone.world.runFor(5s);
    zone.world.setStoreReachable(addressOf(1), false);
    zone.world.runFor(50ms);
    zone.world.machines[3].state = object_store::MachineState::kLeaving;
    zone.world.runFor(2500ms);
    for (const auto& [index, membership] : zone.memberships) {
      CPPUNIT_ASSERT(membership->machineLeaving(machineOf(4)));
    }
  }

  void nodeOnGoneMachineIsConfirmedDead() {
    MembershipZone zone(10);
    zone.startAll(4);
    zone.world.runFor(2s);
    zone.kill(3);
    zone.world.machines.erase(zone.world.machines.begin() + 2);
    zone.world.runFor(2s);
    CPPUNIT_ASSERT(zone.memberships.at(1)->confirmedDead({addressOf(3), 3}));
    CPPUNIT_ASSERT(!zone.memberships.at(1)->confirmedDead({addressOf(2), 2}));
  }

  void controlBytesStayInBudget() {
    MembershipZone zone(11);
    zone.startAll(13);
    zone.world.runFor(5s);
    zone.world.message_bytes = 0;
    zone.world.runFor(60s);
    const auto per_node_second = zone.world.message_bytes / 13 / 60;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(per_node_second), per_node_second < 2500);
  }

  void viewsAgreeAfterAnyFaults() {
    testing::requireProperty("views agree after any faults", 60, [](std::uint32_t seed) {
      MembershipZone zone(seed);
      zone.world.message_loss = 0.05;
      zone.startAll(6);
      for (int step = 0; step < 25; ++step) {
        const int index = 1 + static_cast<int>(zone.world.random.below(6));
        switch (zone.world.random.below(4)) {
          case 0:
            zone.kill(index);
            break;
          case 1:
            zone.start(index);
            break;
          case 2:
            zone.world.pause(addressOf(index), 3s);
            break;
          default:
            zone.world.setGroup(addressOf(index), static_cast<int>(zone.world.random.below(2)));
        }
        zone.world.runFor(700ms);
      }
      zone.world.healNetwork();
      zone.world.message_loss = 0;
      zone.world.runFor(10s);
      RC_ASSERT(zone.everyNodeSees(zone.memberships.size()));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace cypresswall::membership
