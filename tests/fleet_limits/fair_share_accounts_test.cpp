/// What a keeper computes from nodes' reports, and messages that must do no harm: numbers that
/// can't be right, and messages of other builds.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <string>

#include "cypresswall/fleet_limits/pool_ledger.h"
#include "tests/admission/fair_share_fleet.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kRound = milliseconds(200);

/// Counts of one round at a rate of 1,000 requests a second.
DemandReport reportOf(std::uint32_t refused, std::uint32_t delayed) {
  DemandReport report;
  report.pool = "service/booking";
  report.urgent_first = true;
  report.classes = {{1, 200, 200, 200, 200 - refused, refused, 200 - refused, delayed}};
  report.tenants = {{"large", 1, 150, 150, 1}, {"small", 1, 50, 50, 1}};
  return report;
}

PoolShares closeRounds(PoolLedger& ledger, const DemandReport& report, int rounds,
                       common::MonotonicTime& now) {
  PoolShares shares;
  for (int round = 0; round < rounds; ++round) {
    ledger.add(report);
    now += kRound;
    shares = ledger.close(now);
  }
  return shares;
}

/// A report of an earlier or later build: with a field less or more at its end.
struct ShorterReport {
  static constexpr auto kType = DemandReport::kType;
  std::string pool;
  bool urgent_first = false;
  MSGPACK_DEFINE(pool, urgent_first)
};
struct LongerShares {
  static constexpr auto kType = PoolShares::kType;
  std::string pool;
  common::NodeId keeper;
  std::uint64_t round = 0;
  bool active = true;
  std::vector<ClassShare> classes;
  std::vector<TenantShare> tenants;
  std::string added_later = "unknown";
  MSGPACK_DEFINE(pool, keeper, round, active, classes, tenants, added_later)
};

class FairShareAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairShareAccountsTest);
  CPPUNIT_TEST(refusalsLimitTheTenantAboveItsShare);
  CPPUNIT_TEST(delayedAnswersLowerTheCapacity);
  CPPUNIT_TEST(capacityDoesNotFallWithoutEndWhileAnswersStayDelayed);
  CPPUNIT_TEST(singleRefusalsAreNoShortage);
  CPPUNIT_TEST(urgentClassTakesItsRoomFirst);
  CPPUNIT_TEST(impossibleNumbersAreUnreadable);
  CPPUNIT_TEST(malformedMessagesAreDroppedAndCounted);
  CPPUNIT_TEST(messagesOfOtherBuildsAreUnderstood);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refusalsLimitTheTenantAboveItsShare() {
    common::MonotonicTime now{};
    PoolLedger ledger({}, now);
    // 60 of 200 find no room: 140 are left, of which the small tenant takes 50.
    const PoolShares shares = closeRounds(ledger, reportOf(60, 0), 3, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shares.tenants.size());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), shares.tenants.front().tenant);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(90.0 / 150, shares.tenants.front().fraction, 0.01);
  }

  void delayedAnswersLowerTheCapacity() {
    common::MonotonicTime now{};
    PoolLedger ledger({}, now);
    const PoolShares shares = closeRounds(ledger, reportOf(0, 100), 5, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shares.tenants.size());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), shares.tenants.front().tenant);
  }

  void capacityDoesNotFallWithoutEndWhileAnswersStayDelayed() {
    common::MonotonicTime now{};
    PoolLedger ledger({}, now);
    const PoolShares shares = closeRounds(ledger, reportOf(0, 200), 100, now);
    const double least = PoolLedgerSettings().least_capacity_share * 200 - 50;
    CPPUNIT_ASSERT_GREATEREQUAL(0.95 * least / 150, shares.tenants.front().fraction);
  }

  void singleRefusalsAreNoShortage() {
    common::MonotonicTime now{};
    PoolLedger ledger({}, now);
    CPPUNIT_ASSERT(closeRounds(ledger, reportOf(1, 5), 10, now).classes.empty());
    CPPUNIT_ASSERT(ledger.calm(now));
  }

  void urgentClassTakesItsRoomFirst() {
    common::MonotonicTime now{};
    PoolLedger ledger({}, now);
    DemandReport report = reportOf(150, 0);
    report.classes.push_back({3, 50, 50, 50, 50, 0, 50, 0});
    report.tenants.push_back({"urgent", 3, 50, 50, 1});
    for (const TenantShare& share : closeRounds(ledger, report, 3, now).tenants) {
      CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(share.urgency));
    }
  }

  void impossibleNumbersAreUnreadable() {
    for (const double value :
         {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 1e300}) {
      DemandReport report = reportOf(1, 1);
      report.classes.front().admitted = value;
      CPPUNIT_ASSERT(!PoolLedger::isReadable(report));
      report = reportOf(1, 1);
      report.tenants.front().cost = value;
      CPPUNIT_ASSERT(!PoolLedger::isReadable(report));
      report = reportOf(1, 1);
      report.tenants.front().weight = value;
      CPPUNIT_ASSERT(!PoolLedger::isReadable(report));
    }
    DemandReport report = reportOf(1, 1);
    report.tenants.front().weight = 0;
    CPPUNIT_ASSERT(!PoolLedger::isReadable(report));
    report = reportOf(1, 1);
    report.classes.front().urgency = 4;
    CPPUNIT_ASSERT(!PoolLedger::isReadable(report));
    CPPUNIT_ASSERT(PoolLedger::isReadable(reportOf(1, 1)));
  }

  void malformedMessagesAreDroppedAndCounted() {
    admission::FairShareFleet fleet(2);
    DemandReport report = reportOf(1, 1);
    report.met_shortage = true;
    report.tenants.front().cost = std::nan("");
    fleet.deliver(0, report);
    PoolShares shares;
    shares.pool = admission::FairShareFleet::kPool;
    shares.round = 1;
    shares.classes = {{1, true, false}};
    for (const double fraction : {-0.5, 1.5, std::nan("")}) {
      shares.tenants = {{"large", 1, fraction}};
      fleet.deliver(0, shares);
    }
    shares.tenants = {{"large", 250, 0}};
    fleet.deliver(0, shares);
    CPPUNIT_ASSERT_EQUAL(4.0, fleet.eventCount(0, "unreadable"));
    fleet.load(seconds(1), {{"large", 50}}, 100, 0, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.takeCounts().at("large").refused_by_share);
  }

  void messagesOfOtherBuildsAreUnderstood() {
    admission::FairShareFleet fleet(2);
    fleet.deliver(0, ShorterReport{admission::FairShareFleet::kPool, false});
    LongerShares shares;
    shares.pool = admission::FairShareFleet::kPool;
    shares.round = 1;
    shares.classes = {{1, true, false}};
    shares.tenants = {{"large", 1, 0}};
    fleet.deliver(0, shares);
    CPPUNIT_ASSERT(!fleet.send(0, "large"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.takeCounts().at("large").refused_by_share);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairShareAccountsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
