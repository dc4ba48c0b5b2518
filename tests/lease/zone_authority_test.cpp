#include "cypresswall/lease/zone_authority.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "tests/lease/lease_zone.h"
#include "tests/support/property.h"

namespace cypresswall::lease {
namespace {

using namespace std::chrono_literals;
using testing::LeaseZone;

class ZoneAuthorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneAuthorityTest);
  CPPUNIT_TEST(oneHolderAndFiveVoters);
  CPPUNIT_TEST(singleNodeHoldsAlone);
  CPPUNIT_TEST(electsNextHolderAfterKill);
  CPPUNIT_TEST(keepsLeaseThroughStoreOutage);
  CPPUNIT_TEST(pausedHolderResumesWithoutLease);
  CPPUNIT_TEST(minorityHasNoHolder);
  CPPUNIT_TEST(plannedStopHandsOverLease);
  CPPUNIT_TEST(allVotersReplacedOneByOneWithTheStoreDown);
  CPPUNIT_TEST(newGenerationAfterEveryVoterRestarted);
  CPPUNIT_TEST(unreachableMajorityIsNotReplaced);
  CPPUNIT_TEST(nodeThatEndsSoonAfterItsReturnCostsNoQuorum);
  CPPUNIT_TEST(lostStoreAnswersAreResolvedByReadBack);
  CPPUNIT_TEST(slowHolderClockNeverOverlapsNextLease);
  CPPUNIT_TEST(idleControlTrafficStaysWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void oneHolderAndFiveVoters() {
    LeaseZone zone(1);
    zone.startAll(7);
    CPPUNIT_ASSERT(zone.awaitHolder(5s).has_value());
    zone.world.runFor(5s);
    const auto& authority = *zone.nodes.at(zone.holder().value()).authority;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, authority.voterSet().members.size());
    for (const auto& [index, node] : zone.nodes) {
      CPPUNIT_ASSERT(!node.authority->believedHolder().empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.acquisitions);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void singleNodeHoldsAlone() {
    LeaseZone zone(2);
    zone.start(1);
    CPPUNIT_ASSERT(zone.awaitHolder(4s).has_value());
  }

  void electsNextHolderAfterKill() {
    LeaseZone zone(3);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.writeRecord();
    zone.world.runFor(2s);
    zone.stop(zone.holder().value());
    const auto time = zone.awaitHolder(5s);
    CPPUNIT_ASSERT(time.has_value());
    CPPUNIT_ASSERT(*time < 2s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.committed_records);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void keepsLeaseThroughStoreOutage() {
    LeaseZone zone(4);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(2s);
    zone.world.store.down = true;
    zone.world.runFor(60s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.acquisitions);
    zone.stop(zone.holder().value());
    CPPUNIT_ASSERT(zone.awaitHolder(2s).has_value());
  }

  void pausedHolderResumesWithoutLease() {
    LeaseZone zone(5);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(2s);
    const int paused = zone.holder().value();
    zone.world.pause(LeaseZone::address(paused), 3s);
    zone.world.runFor(2500ms);
    CPPUNIT_ASSERT(zone.holder().value() != paused);
    zone.world.runFor(2s);
    CPPUNIT_ASSERT(!zone.nodes.at(paused).authority->heldEpoch());
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void minorityHasNoHolder() {
    LeaseZone zone(6);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(3s);
    const int old_holder = zone.holder().value();
    const int companion = old_holder == 1 ? 2 : 1;
    zone.world.setGroup(LeaseZone::address(old_holder), 1);
    zone.world.setGroup(LeaseZone::address(companion), 1);
    zone.world.runFor(3s);
    const int new_holder = zone.holder().value();
    CPPUNIT_ASSERT(new_holder != old_holder && new_holder != companion);
    zone.world.runFor(60s);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void plannedStopHandsOverLease() {
    LeaseZone zone(7);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.writeRecord();
    zone.world.runFor(2s);
    const int leaving = zone.holder().value();
    zone.nodes.at(leaving).membership->announceLeaving();
    zone.nodes.at(leaving).authority->resign();
    zone.world.runFor(600ms);
    CPPUNIT_ASSERT(zone.holder().has_value());
    CPPUNIT_ASSERT(zone.holder().value() != leaving);
    zone.world.runFor(4s);
    const auto& authority = *zone.nodes.at(zone.holder().value()).authority;
    const auto node = zone.nodes.at(leaving).membership->self();
    CPPUNIT_ASSERT(!authority.voterSet().contains(node));
    CPPUNIT_ASSERT(zone.nodes.at(leaving).authority->mayStop());
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void allVotersReplacedOneByOneWithTheStoreDown() {
    LeaseZone zone(8);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(2s);
    zone.world.store.down = true;
    for (int index = 1; index <= 4; ++index) {
      zone.writeRecord();
      zone.world.runFor(1s);
      zone.start(index);
      zone.world.runFor(6s);
    }
    CPPUNIT_ASSERT(zone.holder().has_value());
    zone.world.store.down = false;
    zone.world.runFor(5s);
    zone.start(5);
    zone.world.runFor(5s);
    CPPUNIT_ASSERT(zone.holder().has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.generations);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void newGenerationAfterEveryVoterRestarted() {
    LeaseZone zone(9);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(2s);
    zone.startAll(5);
    CPPUNIT_ASSERT(zone.awaitHolder(8s).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, zone.counts.generations);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  void unreachableMajorityIsNotReplaced() {
    LeaseZone zone(10);
    zone.startAll(5);
    zone.awaitHolder(5s);
    zone.world.runFor(3s);
    for (const int index : {1, 2, 3}) {
      zone.world.setGroup(LeaseZone::address(index), 1);
      zone.world.setStoreReachable(LeaseZone::address(index), false);
    }
    zone.world.runFor(60s);
    CPPUNIT_ASSERT(zone.holder().value() <= 3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.generations);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
  }

  /// A node was silent for so long that the holder became the only voter. While the voters grow
  /// again, the returned node ends: with two voters that would cost the quorum, and with it all
  /// that is known about idempotency keys.
  void nodeThatEndsSoonAfterItsReturnCostsNoQuorum() {
    for (int moment = 0; moment < 60; ++moment) {
      LeaseZone zone(static_cast<std::uint64_t>(20 + moment));
      zone.startAll(3);
      zone.awaitHolder(5s);
      zone.world.runFor(2s);
      const int holder = zone.holder().value();
      const int returning = holder == 1 ? 2 : 1;
      zone.world.pause(LeaseZone::address(returning), 8s);
      zone.world.runFor(8s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           zone.nodes.at(holder).authority->voterSet().members.size());
      zone.world.runFor(moment * 30ms);
      zone.stop(returning);
      zone.world.runFor(10s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("ended " + std::to_string(moment * 30) + " ms after its return",
                                   std::uint64_t{1}, zone.counts.generations);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.counts.acquisitions);
      CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
    }
  }

  void lostStoreAnswersAreResolvedByReadBack() {
    LeaseZone zone(11);
    zone.world.store.lost_answers = 1;
    zone.startAll(3);
    CPPUNIT_ASSERT(zone.awaitHolder(6s).has_value());
    CPPUNIT_ASSERT(zone.world.store.answers_lost > 0);
  }

  /// Limits the bytes of encoded envelopes per second that a node in a zone of 13 sends for
  /// membership and lease.
  void idleControlTrafficStaysWithinLimit() {
    constexpr int kSeconds = 60;
    LeaseZone zone(12);
    zone.startAll(13);
    zone.awaitHolder(6s);
    zone.world.runFor(5s);
    std::map<common::Address, std::size_t> bytes;
    zone.world.on_send = [&](const api::Envelope& envelope) {
      bytes[envelope.sender.address] += api::encodeEnvelope(envelope).size();
    };
    zone.world.runFor(std::chrono::seconds(kSeconds));
    const auto holder = LeaseZone::address(zone.holder().value());
    std::size_t others = 0;
    for (const auto& [address, sent] : bytes) {
      others = address == holder ? others : std::max(others, sent);
    }
    std::cout << "\n  bytes sent a second: holder " << bytes[holder] / kSeconds << ", other nodes "
              << others / kSeconds << " at most\n";
    CPPUNIT_ASSERT(bytes[holder] / kSeconds < 4000);
    CPPUNIT_ASSERT(others / kSeconds < 2500);
  }

  /// A holder with a slow clock is partitioned while voters with fast clocks elect the next one as
  /// early as possible. Without the drift margin both leases would overlap.
  void slowHolderClockNeverOverlapsNextLease() {
    int slow_holders = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      LeaseZone zone(seed);
      zone.clock_rates = {{1, 0.98}, {2, 0.98}, {3, 1.02}, {4, 1.02}, {5, 1.02}};
      zone.lease_settings.minimum_backoff = 1ms;
      zone.lease_settings.maximum_backoff = 30ms;
      zone.lease_settings.tick_interval = 1ms;
      zone.world.maximum_delay = 300us;
      zone.startAll(5);
      zone.awaitHolder(6s);
      zone.world.runFor(3s);
      const int holder = zone.holder().value();
      slow_holders += holder <= 2 ? 1 : 0;
      zone.world.setGroup(LeaseZone::address(holder), 1);
      zone.world.runFor(3s);
      CPPUNIT_ASSERT(zone.holder().value_or(holder) != holder);
      CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
    }
    CPPUNIT_ASSERT(slow_holders >= 5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneAuthorityTest);

}  // namespace
}  // namespace cypresswall::lease
