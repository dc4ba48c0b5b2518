/// Guards against two holders of a lease, and against terms that are used a second time, after the
/// store was restored from a copy in which the lease has an earlier holder and term, or none.
#include <string>
#include <vector>

#include "tests/lease/store_lease_zone.h"

namespace cypresswall::lease {
namespace {

using namespace std::chrono_literals;
using cypresswall::testing::requireProperty;
using testing::Fault;
using testing::faultSchedule;
using testing::StoreLeaseZone;

constexpr double kClockDrift = 0.02;
constexpr int kRuns = 150;

class RestoredLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredLeaseTest);
  CPPUNIT_TEST(earlierHolderInTheCopyWaitsForTheHandoverGap);
  CPPUNIT_TEST(leaseThatTheCopyLacksIsNotTakenAtOnce);
  CPPUNIT_TEST(termsOfLostWritesAreNotUsedAgain);
  CPPUNIT_TEST(oneHolderAtATimeOverRestores);
  CPPUNIT_TEST_SUITE_END();

 public:
  void earlierHolderInTheCopyWaitsForTheHandoverGap() {
    StoreLeaseZone zone(1);
    zone.startAll(4);
    CPPUNIT_ASSERT(zone.awaitHolder(5s));
    const int first = *zone.holder();
    zone.world.store.copy();
    zone.world.pause(StoreLeaseZone::address(first), 9s);
    CPPUNIT_ASSERT(zone.awaitHolder(15s, first));
    zone.run(4s);
    zone.world.store.restore();
    zone.run(15s);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
    CPPUNIT_ASSERT(zone.holder());
  }

  void leaseThatTheCopyLacksIsNotTakenAtOnce() {
    StoreLeaseZone zone(2);
    zone.world.store.copy();
    zone.startAll(4);
    CPPUNIT_ASSERT(zone.awaitHolder(5s));
    const int first = *zone.holder();
    zone.world.setStoreReachable(StoreLeaseZone::address(first), false);
    zone.world.pause(StoreLeaseZone::address(first), 400ms);
    zone.world.store.restore();
    zone.stop(first);
    zone.run(15s);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
    CPPUNIT_ASSERT(zone.holder());
  }

  void termsOfLostWritesAreNotUsedAgain() {
    StoreLeaseZone zone(3);
    zone.startAll(4);
    CPPUNIT_ASSERT(zone.awaitHolder(5s));
    for (int restore = 0; restore < 4; ++restore) {
      zone.world.store.copy();
      for (int change = 0; change < 2; ++change) {
        const int current = *zone.holder();
        zone.stop(current);
        CPPUNIT_ASSERT(zone.awaitHolder(15s, current));
        zone.start(current);
      }
      zone.world.store.restore();
      CPPUNIT_ASSERT(zone.awaitHolder(15s));
      zone.run(5s);
      CPPUNIT_ASSERT_EQUAL(std::string(), zone.violation);
    }
  }

  void oneHolderAtATimeOverRestores() {
    std::uint64_t holders = 0;
    std::uint64_t restores = 0;
    requireProperty("one holder at a time over restores", kRuns, [&] {
      const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 40U);
      const int nodes = *rc::gen::inRange(2, 7);
      const auto faults = *faultSchedule();
      StoreLeaseZone zone(seed, kClockDrift);
      zone.world.message_loss = 0.02;
      zone.world.store.lost_answers = 0.1;
      zone.world.store.late_writes = 0.1;
      zone.startAll(nodes);
      zone.run(3s);
      zone.world.store.copy();
      for (const Fault& fault : faults) {
        if (fault.pattern % 3 == 0) {
          zone.world.store.copy();
        } else if (fault.pattern % 5 == 0) {
          zone.world.store.restore();
          ++restores;
        }
        zone.apply(fault, nodes);
        zone.run(std::chrono::milliseconds(fault.wait_ms));
        RC_LOG() << zone.violation;
        RC_ASSERT(zone.violation.empty());
      }
      zone.heal(nodes);
      zone.world.store.lost_answers = 0;
      zone.world.store.late_writes = 0;
      zone.start(1);
      const auto recovery = zone.awaitHolder(30s);
      RC_LOG() << zone.violation;
      RC_ASSERT(zone.violation.empty());
      RC_ASSERT(recovery.has_value());
      holders += zone.holders;
    });
    std::cout << "\n  holders " << holders << ", restores " << restores << "\n";
    CPPUNIT_ASSERT(holders > 2 * kRuns && restores > kRuns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredLeaseTest);

}  // namespace
}  // namespace cypresswall::lease
