#include "cypresswall/orders/zone_controller.h"

#include "tests/orders/zone_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::orders {
namespace {

using engines::EngineRole;
using testing::ZoneFixture;

constexpr auto kSecond = std::chrono::milliseconds(1000);
constexpr auto kWarmUp = std::chrono::seconds(15);

class ZoneControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneControllerTest);
  CPPUNIT_TEST(fencesEveryEngineFirst);
  CPPUNIT_TEST(changesARoleUnderLoadWithoutCuttingAStream);
  CPPUNIT_TEST(loadsANewVersionWhileServing);
  CPPUNIT_TEST(loadsAdaptersWithoutDraining);
  CPPUNIT_TEST(appliesPinnedRoles);
  CPPUNIT_TEST(doesNotChangeDrainedEnginesOrLeavingMachines);
  CPPUNIT_TEST(lostReplyIsRetriedWithSameOrder);
  CPPUNIT_TEST(crashDuringChangeIsReplanned);
  CPPUNIT_TEST(newHolderClearsDrainsOfFailedHolder);
  CPPUNIT_TEST(drainsExpireWithoutRenewal);
  CPPUNIT_TEST(emptyTableIsNotRenewed);
  CPPUNIT_TEST(overdueDrainIsCancelled);
  CPPUNIT_TEST(regainedEpochReusesNoSequenceNumber);
  CPPUNIT_TEST(requestsLeaseOnlyWhenChangesArePlanned);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fencesEveryEngineFirst() {
    ZoneFixture zone(1, 3, 6);
    zone.script.wanted = {{"e100", EngineRole::kPrefill}};
    zone.run(kWarmUp);
    const auto fenced_by = zone.engine(0).ledger().orders.back().at;
    for (int i = 0; i < 6; ++i) {
      const auto& first = zone.engine(i).ledger().orders.front();
      CPPUNIT_ASSERT(first.order.content.kind == engines::OrderKind::kRaiseFence);
      CPPUNIT_ASSERT(first.at <= fenced_by);
    }
    CPPUNIT_ASSERT(zone.roleChanges() > 0);
  }

  void changesARoleUnderLoadWithoutCuttingAStream() {
    ZoneFixture zone(2, 3, 6);
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    zone.run(kWarmUp + 10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.roleChanges());
    CPPUNIT_ASSERT(zone.engine(1).currentLoad().role == EngineRole::kDecode);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.streamsCutByOrders());
    CPPUNIT_ASSERT(zone.nodes[1].streams->finished > 100);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.unsettled());
    const auto rows = zone.nodes[0].controller->changes();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT(rows.front().outcome == ChangeOutcome::kDone);
  }

  void emptyTableIsNotRenewed() {
    ZoneFixture zone(2, 3, 6);
    const auto announcements = [&] {
      double sum = 0;
      for (const auto& node : zone.nodes) {
        sum += node.process->counters().total("cypresswall_drain_announcements_total");
      }
      return sum;
    };
    zone.run(kWarmUp);
    const double before = announcements();
    CPPUNIT_ASSERT(before > 0);
    zone.run(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(before, announcements());
  }

  void loadsANewVersionWhileServing() {
    ZoneFixture zone(3, 2, 5);
    zone.run(5 * kSecond);
    zone.fleet.models["m"].version = "2";
    zone.setConfiguration();
    for (int second = 0; second < 60; ++second) {
      zone.run(kSecond);
      int serving = 0;
      for (int i = 0; i < 5; ++i) {
        serving += zone.engine(i).currentLoad().state == engines::EngineState::kReady ? 1 : 0;
      }
      CPPUNIT_ASSERT(serving >= 4);
    }
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), zone.engine(i).currentLoad().version);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.streamsCutByOrders());
  }

  void loadsAdaptersWithoutDraining() {
    ZoneFixture zone(4, 2, 3);
    zone.fleet.models["m"].adapters = {{"customs", ""}};
    zone.setConfiguration();
    zone.run(10 * kSecond);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.engine(i).currentLoad().adapters.size());
    }
    zone.fleet.models["m"].adapters.clear();
    zone.setConfiguration();
    zone.run(30 * kSecond);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(zone.engine(i).currentLoad().adapters.empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.streamsCutByOrders());
  }

  void appliesPinnedRoles() {
    ZoneFixture zone(5, 2, 3);
    zone.fleet.engine_overrides["e101"] = {"e101", false, true, EngineRole::kPrefill};
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    zone.setConfiguration();
    zone.run(kWarmUp + 10 * kSecond);
    CPPUNIT_ASSERT(zone.engine(1).currentLoad().role == EngineRole::kPrefill);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.roleChanges());
  }

  void doesNotChangeDrainedEnginesOrLeavingMachines() {
    ZoneFixture zone(6, 2, 4);
    zone.fleet.engine_overrides["e101"] = {"e101", true, false, EngineRole::kMixed};
    zone.setConfiguration();
    for (auto& node : zone.nodes) {
      node.membership->setLeaving("machine-e102", true);
    }
    zone.script.wanted = {{"e101", EngineRole::kDecode}, {"e102", EngineRole::kDecode}};
    zone.run(kWarmUp + 10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.roleChanges());
  }

  void lostReplyIsRetriedWithSameOrder() {
    ZoneFixture zone(7, 2, 3);
    zone.engines.faults.orders.answer_lost = 0.6;
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    zone.run(kWarmUp + 45 * kSecond);
    CPPUNIT_ASSERT(zone.simulation.faults().count(simulation::FaultKind::kEngineAnswerLost) > 0);
    CPPUNIT_ASSERT(zone.audit.repeated > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.audit.violations.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.roleChanges());
  }

  void crashDuringChangeIsReplanned() {
    ZoneFixture zone(8, 2, 3);
    emulation::EngineFaults faults;
    faults.crash_in_next_change = true;
    zone.engine(1).setFaults(faults);
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    zone.run(kWarmUp + 30 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, zone.engine(1).ledger().crashes);
    CPPUNIT_ASSERT(zone.engine(1).currentLoad().role == EngineRole::kDecode);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.unsettled());
  }

  /// Runs until the lease holder drains e101.
  static void startDrain(ZoneFixture& zone) {
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    const bool draining = zone.simulation.time().runUntilTrue(
        [&] { return zone.nodes[1].controller->drains().engines().count("e101") != 0; },
        60 * kSecond);
    CPPUNIT_ASSERT(draining);
    zone.script.wanted.clear();
  }

  void newHolderClearsDrainsOfFailedHolder() {
    ZoneFixture zone(9, 3, 3);
    startDrain(zone);
    zone.kill(0);
    zone.run(kSecond);
    zone.assignLease(1);
    zone.run(kSecond / 2);
    CPPUNIT_ASSERT(zone.nodes[1].controller->drains().engines().empty());
    CPPUNIT_ASSERT(zone.nodes[2].controller->drains().engines().empty());
    zone.restart(0);
    zone.run(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.unsettled());
  }

  void drainsExpireWithoutRenewal() {
    ZoneFixture zone(10, 3, 3);
    startDrain(zone);
    zone.kill(0);
    zone.run(zone.settings.drain.expiry + kSecond);
    CPPUNIT_ASSERT(zone.nodes[1].controller->drains().engines().empty());
    CPPUNIT_ASSERT(zone.nodes[2].directory->find("e101")->availability ==
                   routing::EngineAvailability::kAvailable);
  }

  void overdueDrainIsCancelled() {
    ZoneFixture zone(11, 2, 3);
    zone.settings.drain.timeout = 2 * kSecond;
    zone.restart(0);
    zone.assignLease(0);
    zone.run(3 * kSecond);
    engines::StreamRequest endless;
    endless.stream_id = "endless";
    endless.model = "m";
    endless.shape.tokens = 10;
    endless.maximum_tokens = 1000000;
    class Sink final : public emulation::StreamObserver {
      void onToken(std::uint32_t, const std::string&) override {}
      void onFinished(const engines::StreamUsage&) override {}
      void onBroken() override {}
    } sink;
    zone.engine(1).startStream(endless, sink);
    zone.script.wanted = {{"e101", EngineRole::kDecode}};
    zone.run(kWarmUp + 10 * kSecond);
    zone.script.wanted.clear();
    zone.run(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.roleChanges());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.streamsCutByOrders());
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.unsettled());
    const auto rows = zone.nodes[0].controller->changes();
    CPPUNIT_ASSERT(!rows.empty() && rows.front().outcome == ChangeOutcome::kDrainCancelled);
    zone.engine(1).cancelStream("endless", 1);
  }

  /// With an on-demand lease, one node plans without it, requests it once its plan contains a
  /// change, and releases it some time after the last change.
  void requestsLeaseOnlyWhenChangesArePlanned() {
    ZoneFixture zone(5, 3, 6);
    zone.loseLease();
    zone.lease_state.planner = zone.nodes[1].process->id();
    zone.run(15 * kSecond);
    CPPUNIT_ASSERT(zone.lease_state.needed_by.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.audit.orders);
    zone.script.wanted = {{ZoneFixture::nameOf(2), EngineRole::kPrefill}};
    zone.run(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.lease_state.needed_by.size());
    CPPUNIT_ASSERT(zone.lease_state.needed_by.contains(zone.lease_state.planner));
    zone.assignLease(1);
    zone.run(15 * kSecond);
    CPPUNIT_ASSERT(zone.engine(2).currentLoad().role == EngineRole::kPrefill);
    CPPUNIT_ASSERT(zone.lease_state.needed_by.empty());
    CPPUNIT_ASSERT(zone.audit.violations.empty());
  }

  void regainedEpochReusesNoSequenceNumber() {
    ZoneFixture zone(12, 2, 3);
    zone.settings.demand.short_window = kSecond;
    zone.restart(0);
    zone.assignLease(0);
    zone.engines.faults.orders.answer_lost = 0.4;
    const auto holder = zone.lease_state.holder;
    for (int i = 0; i < 30; ++i) {
      zone.script.wanted = {
          {ZoneFixture::nameOf(i % 3), i % 2 == 0 ? EngineRole::kDecode : EngineRole::kMixed}};
      zone.run(4 * kSecond);
      zone.lease_state.holder = {};
      zone.run(kSecond / 3);
      zone.lease_state.holder = holder;
    }
    CPPUNIT_ASSERT(zone.roleChanges() > 5);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         zone.audit.violations.empty() ? "" : zone.audit.violations.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneControllerTest);

}  // namespace
}  // namespace cypresswall::orders
