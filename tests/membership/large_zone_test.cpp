/// Membership in zones of hundreds of nodes, where each node has a few neighbours only: the
/// messages per node do not grow with the zone, and the member lists are correct soon after any
/// fault.
#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/membership/member_packing.h"
#include "cypresswall/membership/membership.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::membership {
namespace {

using namespace std::chrono_literals;

constexpr const char* kZone = "hall-a";

/// Machine list that every node can read at no cost, as on the production platform.
class EmptyMachineList final : public object_store::MachineList {
 public:
  void fetch(const common::ZoneName&, object_store::MachineListCallback) override {}
  bool isLocal() const override { return true; }
};

class LargeZone {
 public:
  explicit LargeZone(std::uint64_t seed) : world(seed) {}

  static common::Address addressOf(int index) {
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
  }
  void start(int index) {
    memberships.erase(index);
    auto& process = world.spawn({addressOf(index), ++next_incarnation_}, kZone);
    MembershipSettings settings;
    settings.machine = "edge-hall-a-" + std::to_string(index);
    settings.gateway_address = "10.0.0." + std::to_string(index) + ":8000";
    settings.link_megabits = 20;
    settings.seeds = {addressOf(0), addressOf(1), addressOf(2)};
    auto membership = std::make_unique<Membership>(settings, process.context(), machines_);
    membership->start();
    memberships[index] = std::move(membership);
  }
  /// Starts the nodes in random order within 0.3 s.
  void startAll(int from, int to) {
    std::vector<int> indexes;
    for (int index = from; index < to; ++index) {
      indexes.push_back(index);
    }
    for (int index : indexes) {
      const auto delay = common::Duration(world.random.below(300000));
      world.at(world.now() + delay, [this, index] { start(index); });
    }
    world.runFor(300ms);
  }
  void kill(int index) {
    memberships.erase(index);
    world.kill(addressOf(index));
  }
  /// \return the number of nodes whose member list differs from the running nodes
  int nodesWithWrongView() const {
    std::set<common::Address> running;
    for (const auto& [index, membership] : memberships) {
      running.insert(addressOf(index));
    }
    return static_cast<int>(
        std::count_if(memberships.begin(), memberships.end(), [&running](const auto& entry) {
          const auto& members = entry.second->members();
          return members.size() != running.size() ||
                 !std::equal(members.begin(), members.end(), running.begin(),
                             [](const Member& member, const common::Address& address) {
                               return member.node.address == address;
                             });
        }));
  }
  /// Runs until every member list is correct. \return false if that takes longer than `limit`
  bool runUntilViewsAgree(common::Duration limit) {
    const auto end = world.now() + limit;
    while (world.now() < end) {
      world.runFor(100ms);
      if (nodesWithWrongView() == 0) {
        return true;
      }
    }
    return false;
  }
  double messagesPerNodeSecond(common::Duration time) {
    const auto before = world.messages;
    world.runFor(time);
    return static_cast<double>(world.messages - before) / static_cast<double>(memberships.size()) /
           common::toSeconds(time);
  }

  testing::VirtualWorld world;
  std::map<int, std::unique_ptr<Membership>> memberships;

 private:
  EmptyMachineList machines_;
  std::uint64_t next_incarnation_ = 0;
};

class LargeZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeZoneTest);
  CPPUNIT_TEST(allNodesStartAtOnce);
  CPPUNIT_TEST(firstSeedIsDown);
  CPPUNIT_TEST(messagesPerNodeDoNotGrowWithZone);
  CPPUNIT_TEST(deathReachesAllNodes);
  CPPUNIT_TEST(leavingStateReachesAllNodes);
  CPPUNIT_TEST(fortyPercentDieAtOnce);
  CPPUNIT_TEST(partitionedHalvesMerge);
  CPPUNIT_TEST(pausedNodesReturn);
  CPPUNIT_TEST(zoneGrowsByTwoThirdsAtOnce);
  CPPUNIT_TEST(digestsAreSentToNeighboursOnly);
  CPPUNIT_TEST(nodeIsJoiningBeforeStart);
  CPPUNIT_TEST(unreadableUpdateIsCounted);
  CPPUNIT_TEST(viewsAgreeAfterAnyFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void allNodesStartAtOnce() {
    LargeZone zone(1);
    zone.startAll(0, 295);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    zone.world.runFor(3s);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesWithWrongView());
    // Total of all 295 nodes; announcing every node to every other one individually took 1.3 GB.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(zone.world.message_bytes),
                           zone.world.message_bytes < 20'000'000);
  }

  void firstSeedIsDown() {
    LargeZone zone(2);
    zone.startAll(1, 60);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(4s));
  }

  void messagesPerNodeDoNotGrowWithZone() {
    std::vector<double> rates;
    for (const int count : {30, 295, 1000}) {
      LargeZone zone(3);
      zone.startAll(0, count);
      CPPUNIT_ASSERT(zone.runUntilViewsAgree(6s));
      zone.world.runFor(5s);
      rates.push_back(zone.messagesPerNodeSecond(10s));
    }
    const auto [least, most] = std::minmax_element(rates.begin(), rates.end());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(*least) + " to " + std::to_string(*most),
                           *most <= 1.2 * *least && *most < 20);
  }

  void deathReachesAllNodes() {
    LargeZone zone(4);
    zone.startAll(0, 295);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    for (const int victim : {7, 123, 0}) {
      zone.kill(victim);
      CPPUNIT_ASSERT(zone.runUntilViewsAgree(4s));
    }
  }

  void leavingStateReachesAllNodes() {
    LargeZone zone(5);
    zone.startAll(0, 295);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    zone.memberships.at(40)->announceLeaving();
    zone.world.runFor(500ms);
    for (const auto& [index, membership] : zone.memberships) {
      const auto& members = membership->members();
      const auto leaving = std::find_if(members.begin(), members.end(), [](const Member& member) {
        return member.node.address == LargeZone::addressOf(40);
      });
      CPPUNIT_ASSERT(leaving != members.end() && leaving->state == MemberState::kLeaving);
    }
    zone.memberships.at(40)->announceStopped();
    zone.kill(40);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(500ms));
  }

  void fortyPercentDieAtOnce() {
    LargeZone zone(6);
    zone.startAll(0, 295);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    for (int index = 0; index < 295; ++index) {
      if (zone.world.random.unit() < 0.4) {
        zone.kill(index);
      }
    }
    // A few nodes die together with all nodes that monitor them. They are detected once other nodes
    // have become their neighbours.
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(9s));
  }

  void partitionedHalvesMerge() {
    LargeZone zone(7);
    zone.startAll(0, 200);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    for (int index = 0; index < 200; index += 2) {
      zone.world.setGroup(LargeZone::addressOf(index), 1);
    }
    zone.world.runFor(12s);
    CPPUNIT_ASSERT(zone.memberships.at(10)->members().size() < 120);
    zone.world.healNetwork();
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(10s));
  }

  void pausedNodesReturn() {
    LargeZone zone(8);
    zone.startAll(0, 150);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    for (int index = 3; index < 150; index += 10) {
      zone.world.pause(LargeZone::addressOf(index), 4s);
    }
    zone.world.runFor(3500ms);
    CPPUNIT_ASSERT(zone.memberships.at(1)->members().size() < 150);
    zone.world.runFor(500ms);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(4s));
    zone.world.runFor(3s);
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesWithWrongView());
  }

  void zoneGrowsByTwoThirdsAtOnce() {
    LargeZone zone(9);
    zone.startAll(0, 180);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    const auto before = zone.world.message_bytes;
    zone.startAll(180, 300);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(4s));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(zone.world.message_bytes - before),
                           zone.world.message_bytes - before < 20'000'000);
  }

  void digestsAreSentToNeighboursOnly() {
    LargeZone zone(10);
    zone.startAll(0, 100);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    zone.world.runFor(3s);
    const double idle = zone.messagesPerNodeSecond(3s);
    for (const auto& [index, membership] : zone.memberships) {
      membership->setDigest(DigestTopic::kConfigurationVersion, 42);
    }
    const double busy = zone.messagesPerNodeSecond(3s);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(idle) + " to " + std::to_string(busy), busy < idle + 3);
    // Constant digests arrived with the member list.
    const auto& members = zone.memberships.at(50)->members();
    CPPUNIT_ASSERT(std::all_of(members.begin(), members.end(), [&](const Member& member) {
      return zone.memberships.at(50)->digest(member.node, DigestTopic::kLinkMegabits) ==
             std::optional<std::uint64_t>(20);
    }));
  }

  /// A caller that asks before start() must not conclude that the node is alone in its zone.
  void nodeIsJoiningBeforeStart() {
    testing::VirtualWorld world(12);
    world.runFor(10s);
    auto& process = world.spawn({LargeZone::addressOf(1), 1}, kZone);
    MembershipSettings settings;
    settings.seeds = {LargeZone::addressOf(0), LargeZone::addressOf(1)};
    EmptyMachineList machines;
    Membership membership(settings, process.context(), machines);
    CPPUNIT_ASSERT(membership.joining());
    membership.start();
    world.runFor(settings.join_timeout - 100ms);
    CPPUNIT_ASSERT(membership.joining());
    world.runFor(200ms);
    CPPUNIT_ASSERT(!membership.joining());
    settings.seeds = {LargeZone::addressOf(1)};
    Membership alone(settings, process.context(), machines);
    CPPUNIT_ASSERT(!alone.joining());
  }

  void unreadableUpdateIsCounted() {
    LargeZone zone(11);
    zone.startAll(0, 5);
    CPPUNIT_ASSERT(zone.runUntilViewsAgree(3s));
    auto& process = zone.world.process(LargeZone::addressOf(3));
    for (const char* bytes : {"x", "\x92\x04\xa4zzzz", "\x92\xce\xff\xff\xff\xff\xa4zzzz"}) {
      process.context().sendToAddress(LargeZone::addressOf(4), MembershipUpdate{bytes, {}, false});
    }
    zone.world.runFor(100ms);
    const auto& counters = zone.world.process(LargeZone::addressOf(4)).counters();
    CPPUNIT_ASSERT_EQUAL(3.0, counters.total("cypresswall_membership_unreadable_total"));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesWithWrongView());
  }

  void viewsAgreeAfterAnyFaults() {
    const char* const name = "views of a large zone agree after any faults";
    testing::requireProperty(name, 60, [](std::uint32_t seed) {
      constexpr int kNodes = 40;
      LargeZone zone(seed);
      zone.world.message_loss = 0.05;
      zone.startAll(0, kNodes);
      for (int step = 0; step < 25; ++step) {
        const int index = static_cast<int>(zone.world.random.below(kNodes));
        switch (zone.world.random.below(4)) {
          case 0:
            zone.kill(index);
            break;
          case 1:
            zone.start(index);
            break;
          case 2:
            zone.world.pause(LargeZone::addressOf(index), 3s);
            break;
          default:
            zone.world.setGroup(LargeZone::addressOf(index),
                                static_cast<int>(zone.world.random.below(2)));
        }
        zone.world.runFor(700ms);
      }
      zone.world.healNetwork();
      zone.world.message_loss = 0;
      RC_ASSERT(zone.runUntilViewsAgree(15s));
      zone.world.runFor(6s);
      RC_ASSERT(zone.nodesWithWrongView() == 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeZoneTest);

}  // namespace
}  // namespace cypresswall::membership
