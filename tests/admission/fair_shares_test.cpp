/// Load pattern: one tenant sends several times its usual traffic while a pool places a third less
/// than is asked. Whoever asks most then gets most of the room, unless it is divided.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>
#include <vector>

#include "cypresswall/fleet_limits/max_min_shares.h"
#include "tests/admission/fair_share_fleet.h"

namespace cypresswall::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kSizes[] = {1, 13, 66, 300};
constexpr double kUsualDemand = 450;
constexpr double kCapacity = kUsualDemand * 2 / 3;
constexpr const char* kSurging = "large-0";
constexpr double kSurge = 8;
/// What the tenants beside the surging one get of what they get without it.
constexpr double kServedOfOthers = 0.95;
constexpr double kJainIndex = 0.95;

/// Ten tenants below an equal share and ten above it.
std::vector<TenantLoad> tenants(double surge = 1) {
  std::vector<TenantLoad> loads;
  for (int index = 0; index < 10; ++index) {
    loads.push_back({"small-" + std::to_string(index), 10});
    loads.push_back({"large-" + std::to_string(index), 35 * (index == 0 ? surge : 1)});
  }
  return loads;
}

double servedOfOthers(const std::map<std::string, TenantCounts>& counts) {
  double served = 0;
  for (const auto& [tenant, count] : counts) {
    served += tenant == kSurging ? 0 : static_cast<double>(count.served);
  }
  return served;
}

/// \return the index of Jain over the served requests of tenants that ask more than their share
double jainIndex(const std::map<std::string, TenantCounts>& counts) {
  double sum = 0;
  double squares = 0;
  double number = 0;
  for (const auto& [tenant, count] : counts) {
    if (tenant.starts_with("large")) {
      const auto served = static_cast<double>(count.served);
      sum += served;
      squares += served * served;
      ++number;
    }
  }
  return sum * sum / (number * squares);
}

class FairSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairSharesTest);
  CPPUNIT_TEST(surgeOfOneTenantLeavesTheOthersTheirShare);
  CPPUNIT_TEST(withoutSharesTheSurgeTakesTheRoom);
  CPPUNIT_TEST(surgeInPartitionLeavesTheOthersTheirShare);
  CPPUNIT_TEST(tenantsAboveTheirShareGetAlike);
  CPPUNIT_TEST(weightsDivideTheRoom);
  CPPUNIT_TEST(unusedSharesAreUsed);
  CPPUNIT_TEST(tenantWithFewRequestsIsNeverRefused);
  CPPUNIT_TEST(newTenantGetsItsShareWithinASecond);
  CPPUNIT_TEST(plentyRefusesNobodyAndCostsNoMessage);
  CPPUNIT_TEST(divisionEndsWithTheShortage);
  CPPUNIT_TEST(othersKeepTheirShareWhenTheKeeperIsLost);
  CPPUNIT_TEST(nodesOfAnEarlierBuildAreLeftOut);
  CPPUNIT_TEST(retryAfterSpreadsTheReturn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void surgeOfOneTenantLeavesTheOthersTheirShare() {
    for (const std::size_t nodes : kSizes) {
      FairShareFleet fleet(nodes);
      fleet.load(seconds(10), tenants(), kCapacity);
      fleet.takeCounts();
      fleet.load(seconds(10), tenants(), kCapacity);
      const double usual = servedOfOthers(fleet.takeCounts());
      fleet.load(seconds(10), tenants(kSurge), kCapacity);
      const double served = servedOfOthers(fleet.takeCounts());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes", kServedOfOthers <= served / usual);
    }
  }

  void withoutSharesTheSurgeTakesTheRoom() {
    FairShareFleet fleet(13, false);
    fleet.load(seconds(10), tenants(), kCapacity);
    const double usual = servedOfOthers(fleet.takeCounts());
    fleet.load(seconds(10), tenants(kSurge), kCapacity);
    CPPUNIT_ASSERT_LESS(kServedOfOthers, servedOfOthers(fleet.takeCounts()) / usual);
  }

  void surgeInPartitionLeavesTheOthersTheirShare() {
    FairShareFleet fleet(66);
    fleet.partitionAfter(20);
    for (const auto& [first, end] : {std::pair<std::size_t, std::size_t>{0, 20}, {20, 66}}) {
      fleet.load(seconds(10), tenants(), kCapacity, first, end);
      fleet.takeCounts();
      fleet.load(seconds(10), tenants(), kCapacity, first, end);
      const double usual = servedOfOthers(fleet.takeCounts());
      fleet.load(seconds(10), tenants(kSurge), kCapacity, first, end);
      CPPUNIT_ASSERT_GREATEREQUAL(kServedOfOthers, servedOfOthers(fleet.takeCounts()) / usual);
    }
  }

  void tenantsAboveTheirShareGetAlike() {
    for (const std::size_t nodes : kSizes) {
      FairShareFleet fleet(nodes);
      fleet.load(seconds(2), tenants(kSurge), kCapacity);
      fleet.takeCounts();
      fleet.load(seconds(20), tenants(kSurge), kCapacity);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes",
                             kJainIndex <= jainIndex(fleet.takeCounts()));
    }
  }

  void weightsDivideTheRoom() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, fleet_limits::waterLevel({{100, 1}, {100, 2}}, 30), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, fleet_limits::waterLevel({{10, 1}, {100, 1}, {100, 1}}, 50),
                                 1e-9);
    CPPUNIT_ASSERT(std::isinf(fleet_limits::waterLevel({{10, 1}, {20, 5}}, 30)));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fleet_limits::waterLevel({{10, 1}}, -5), 1e-9);
  }

  void unusedSharesAreUsed() {
    FairShareFleet fleet(13);
    fleet.load(seconds(5), tenants(kSurge), kCapacity);
    // The others ask little; the tenant above its share may use what they leave.
    const std::vector<TenantLoad> few = {{kSurging, 600}, {"small-0", 30}};
    fleet.load(seconds(2), few, kCapacity);
    fleet.takeCounts();
    fleet.load(seconds(10), few, kCapacity);
    const auto counts = fleet.takeCounts();
    CPPUNIT_ASSERT_GREATEREQUAL(0.9 * (kCapacity - 30) * 10,
                                static_cast<double>(counts.at(kSurging).served));
  }

  void tenantWithFewRequestsIsNeverRefused() {
    FairShareFleet fleet(66);
    for (int minute = 0; minute < 3; ++minute) {
      fleet.load(seconds(20), tenants(kSurge), kCapacity);
      fleet.send(fleet.size() / 2, "rare");
      fleet.run(seconds(40));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.takeCounts().at("rare").refused_by_share);
  }

  void newTenantGetsItsShareWithinASecond() {
    FairShareFleet fleet(66);
    auto loads = tenants(kSurge);
    fleet.load(seconds(10), loads, kCapacity);
    fleet.takeCounts();
    loads.push_back({"new", 15});
    fleet.load(seconds(1), loads, kCapacity);
    fleet.takeCounts();
    fleet.load(seconds(10), loads, kCapacity);
    const TenantCounts counts = fleet.takeCounts().at("new");
    CPPUNIT_ASSERT_GREATEREQUAL(kServedOfOthers * static_cast<double>(counts.asked),
                                static_cast<double>(counts.served));
  }

  void plentyRefusesNobodyAndCostsNoMessage() {
    FairShareFleet fleet(13);
    const auto before = fleet.messages();
    fleet.load(seconds(20), tenants(kSurge), 2 * kSurge * kUsualDemand);
    CPPUNIT_ASSERT_EQUAL(before, fleet.messages());
    for (const auto& [tenant, counts] : fleet.takeCounts()) {
      CPPUNIT_ASSERT_EQUAL(counts.asked, counts.served);
    }
  }

  void divisionEndsWithTheShortage() {
    FairShareFleet fleet(13);
    fleet.load(seconds(10), tenants(kSurge), kCapacity);
    fleet.load(seconds(10), tenants(), 2 * kUsualDemand);
    fleet.takeCounts();
    const auto before = fleet.messages();
    fleet.load(seconds(10), tenants(), 2 * kUsualDemand);
    CPPUNIT_ASSERT_EQUAL(before, fleet.messages());
    for (const auto& [tenant, counts] : fleet.takeCounts()) {
      CPPUNIT_ASSERT_EQUAL(counts.asked, counts.served);
    }
  }

  void othersKeepTheirShareWhenTheKeeperIsLost() {
    FairShareFleet fleet(13);
    fleet.load(seconds(10), tenants(), kCapacity);
    fleet.takeCounts();
    fleet.load(seconds(10), tenants(), kCapacity);
    const double usual = servedOfOthers(fleet.takeCounts());
    fleet.load(seconds(5), tenants(kSurge), kCapacity);
    fleet.takeCounts();
    fleet.killKeeper();
    fleet.load(seconds(3), tenants(kSurge), kCapacity);
    fleet.tellMembers();
    fleet.load(seconds(7), tenants(kSurge), kCapacity);
    CPPUNIT_ASSERT_GREATEREQUAL(kServedOfOthers, servedOfOthers(fleet.takeCounts()) / usual);
  }

  void nodesOfAnEarlierBuildAreLeftOut() {
    FairShareFleet fleet(13);
    fleet.setEarlierBuild(10, 13);
    fleet.load(seconds(5), tenants(), kCapacity, 0, 10);
    fleet.takeCounts();
    fleet.load(seconds(10), tenants(), kCapacity, 0, 10);
    const double usual = servedOfOthers(fleet.takeCounts());
    fleet.load(seconds(10), tenants(kSurge), kCapacity, 0, 10);
    CPPUNIT_ASSERT_GREATEREQUAL(kServedOfOthers, servedOfOthers(fleet.takeCounts()) / usual);
    for (std::size_t node = 10; node < 13; ++node) {
      CPPUNIT_ASSERT_EQUAL(0.0, fleet.counter(node, "cypresswall_fair_share_events_total"));
    }
  }

  void retryAfterSpreadsTheReturn() {
    simulation::Simulation simulation(1);
    common::CounterRegistry counters;
    FairShares shares({}, simulation.time(), simulation.random(), counters);
    ShareRequest request;
    request.pool = FairShareFleet::kPool;
    request.tenant = "large";
    fleet_limits::PoolShares told;
    told.pool = request.pool;
    told.classes = {{static_cast<std::uint8_t>(request.urgency), true, false}};
    told.tenants = {{"large", static_cast<std::uint8_t>(request.urgency), 0.1}};
    shares.decide(request);
    shares.apply(told);
    std::vector<common::Duration> waits;
    for (int number = 0; number < 200; ++number) {
      if (const auto wait = shares.decide(request).retry_after) {
        waits.push_back(*wait);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{180}, waits.size());
    const FairShareSettings settings;
    std::size_t early = 0;
    for (const auto wait : waits) {
      CPPUNIT_ASSERT(wait >= settings.minimum_retry_after && wait <= settings.maximum_retry_after);
      early += wait < settings.maximum_retry_after / 2 ? 1 : 0;
    }
    CPPUNIT_ASSERT_LESS(waits.size() / 2, early);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);

}  // namespace
}  // namespace cypresswall::admission
