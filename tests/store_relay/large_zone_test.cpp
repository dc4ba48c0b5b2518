/// The store relay in a zone of hundreds of nodes, where announcements are forwarded along a tree.
#include <map>

#include "tests/store_relay/relay_zone.h"
#include "tests/support/property.h"

namespace cypresswall::store_relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RelayZone;

constexpr int kNodes = 295;
constexpr common::Duration kSettleTime = seconds(6);

class LargeRelayZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeRelayZoneTest);
  CPPUNIT_TEST(changeReachesAllNodesThroughTree);
  CPPUNIT_TEST(steadyChangesKeepNodesOffTheStore);
  CPPUNIT_TEST(messagesAndCallsDoNotGrowWithZoneSize);
  CPPUNIT_TEST(lossOfFortyPercentIsCompensatedInTime);
  CPPUNIT_TEST(firstReaderIsReplaced);
  CPPUNIT_TEST(recoveredStoreIsFollowedAgain);
  CPPUNIT_TEST(startingZoneMakesFewStoreCalls);
  CPPUNIT_TEST(startingNodeTakesPeersCopy);
  CPPUNIT_TEST(startingNodeTakesPeersCopyDuringStoreOutage);
  CPPUNIT_TEST(zoneThatLostAllCopiesReadsStoreAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void changeReachesAllNodesThroughTree() {
    RelayZone zone(kNodes);
    zone.run(kSettleTime);
    const std::uint64_t before = zone.store.calls;
    zone.store.put("a", std::string(30000, 'x'));
    zone.run(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
    CPPUNIT_ASSERT(zone.store.calls - before <= 9);
  }

  /// Load pattern: the engines of a fleet register or are replaced one after the other, so that
  /// changes come faster than nodes get them over busy links. Nodes that drop an announcement for a
  /// newer one then never forward any, and the nodes below them read the store themselves.
  void steadyChangesKeepNodesOffTheStore() {
    for (const int count : {30, kNodes, 1000}) {
      RelayZone zone(count);
      zone.simulation.network().setDefaults({.delay = milliseconds(5), .jitter = milliseconds(200)},
                                            {});
      zone.run(kSettleTime);
      const std::uint64_t calls = zone.store.calls;
      constexpr int kChanges = 150;
      for (int change = 0; change < kChanges; ++change) {
        zone.store.put("engine-" + std::to_string(change), "1");
        zone.run(milliseconds(20));
      }
      // Three readers may call for each change, and every node twice beside.
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(count) + " nodes, " + std::to_string(zone.store.calls - calls) + " calls",
          zone.store.calls - calls <= 3 * kChanges + 2 * static_cast<std::uint64_t>(count));
      zone.run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
    }
  }

  void messagesAndCallsDoNotGrowWithZoneSize() {
    std::map<int, double> messages;
    for (const int count : {30, kNodes, 1000}) {
      RelayZone zone(count);
      zone.run(kSettleTime);
      const std::uint64_t calls = zone.store.calls;
      const std::uint64_t delivered = zone.simulation.network().deliveredMessages();
      zone.run(seconds(10));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(zone.store.calls - calls),
                             zone.store.calls - calls <= 33);
      messages[count] =
          static_cast<double>(zone.simulation.network().deliveredMessages() - delivered) / count /
          10;
    }
    // Each node receives one announcement per 300 ms.
    CPPUNIT_ASSERT(messages[1000] <= 1.2 * messages[30]);
    CPPUNIT_ASSERT(messages[1000] <= 4);
  }

  void lossOfFortyPercentIsCompensatedInTime() {
    RelayZone zone(kNodes, 3);
    zone.run(kSettleTime);
    for (RelayZone::Node& node : zone.nodes) {
      if (zone.simulation.random().unit() < 0.4) {
        zone.simulation.kill(*node.process);
      }
    }
    // The remaining nodes have not detected the losses yet.
    zone.store.put("a", "1");
    zone.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
  }

  void firstReaderIsReplaced() {
    RelayZone zone(60, 4);
    zone.run(kSettleTime);
    for (RelayZone::Node* const reader : zone.readers()) {
      zone.simulation.kill(*reader->process);
      zone.store.put("a", reader->process->id().address);
      zone.run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
    }
  }

  void recoveredStoreIsFollowedAgain() {
    RelayZone zone(kNodes, 5);
    zone.run(kSettleTime);
    for (const RelayZone::Node& node : zone.nodes) {
      zone.store.unresponsive_to.push_back(node.process->id().address);
    }
    zone.run(seconds(4));
    zone.store.unresponsive_to.clear();
    zone.store.put("a", "1");
    zone.run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
  }

  /// If each node made its own listing and first watch, that would be 590 calls for one topic.
  void startingZoneMakesFewStoreCalls() {
    RelayZone zone(kNodes, 6);
    zone.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(zone.store.calls), zone.store.calls <= 20);
  }

  void startingNodeTakesPeersCopy() {
    for (const int count : {9, kNodes}) {
      RelayZone zone(count, 7);
      zone.store.put("a", "1");
      zone.run(kSettleTime);
      const std::uint64_t before = zone.store.calls;
      const int index = zone.restartNonReader();
      zone.run(milliseconds(100));
      CPPUNIT_ASSERT(zone.nodes[static_cast<std::size_t>(index)].copy->objects ==
                     zone.store.objects());
      // Unless it is a reader, it makes no store call.
      const auto& node = zone.nodes[static_cast<std::size_t>(index)];
      CPPUNIT_ASSERT(zone.reads(node) || node.copy->calls == 0);
      // The readers keep polling, and the new incarnation may be one of them.
      CPPUNIT_ASSERT(zone.store.calls - before <= 5);
      // It then follows changes as the other nodes do.
      zone.store.put("b", "2");
      zone.run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
    }
  }

  void startingNodeTakesPeersCopyDuringStoreOutage() {
    RelayZone zone(60, 8);
    zone.store.put("a", "1");
    zone.run(kSettleTime);
    for (const RelayZone::Node& node : zone.nodes) {
      zone.store.unresponsive_to.push_back(node.process->id().address);
    }
    zone.run(seconds(3));
    const int index = zone.restartNonReader();
    zone.run(milliseconds(100));
    CPPUNIT_ASSERT(zone.nodes[static_cast<std::size_t>(index)].copy->objects ==
                   zone.store.objects());
  }

  void zoneThatLostAllCopiesReadsStoreAgain() {
    RelayZone zone(60, 9);
    zone.store.put("a", "1");
    zone.run(kSettleTime);
    for (int index = 0; index < 60; ++index) {
      zone.restart(index);
    }
    zone.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeRelayZoneTest);

}  // namespace
}  // namespace cypresswall::store_relay
