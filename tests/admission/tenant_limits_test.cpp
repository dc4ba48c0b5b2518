#include "cypresswall/admission/tenant_limits.h"

#include <memory>
#include <vector>

#include "tests/execution/fake_services.h"
#include "tests/execution/process_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRequestLimit = 40;
constexpr double kTokenLimit = 8000;

/// A zone of gateway nodes whose messages can be lost and doubled.
class Zone final : private api::PeerTransport {
 public:
  Zone(std::size_t nodes, int loss_percent, int double_percent)
      : loss_percent_(loss_percent), double_percent_(double_percent) {
    auto& tenant = configuration.fleet.tenants["portal"];
    tenant.requests_per_second = kRequestLimit;
    tenant.tokens_per_second = kTokenLimit;
    for (std::size_t number = 0; number < nodes; ++number) {
      membership::Member member;
      member.node.address = "127.0.0.1:" + std::to_string(number);
      membership.member_list.push_back(member);
    }
    for (const auto& member : membership.member_list) {
      nodes_.push_back(std::make_unique<Node>(*this, member.node));
    }
  }

  bool ask(std::size_t node, std::uint32_t tokens) { return !refusal(node, tokens); }
  std::optional<Refusal> refusal(std::size_t node, std::uint32_t tokens) {
    AdmissionRequest request;
    request.tenant = "portal";
    request.tokens = tokens;
    return nodes_[node]->limits.take(request);
  }

  simulation::VirtualTime time;
  common::SeededRandom random{5};
  common::CounterRegistry counters;
  testing::FixedConfiguration configuration;
  testing::FakeMembership membership;

 private:
  struct Node {
    Node(Zone& zone, const common::NodeId& id)
        : context{id,
                  "quay",
                  zone.time,
                  zone.time,
                  zone.random,
                  common::nullLogSink(),
                  zone.counters,
                  zone,
                  dispatcher},
          limits(context, zone.configuration, zone.membership, AdmissionSettings{}) {}
    api::MessageDispatcher dispatcher;
    api::ProcessContext context;
    TenantLimits limits;
  };

  void send(api::Envelope envelope) override {
    if (random.below(100) < static_cast<std::uint64_t>(loss_percent_)) {
      return;
    }
    deliver(envelope);
    if (random.below(100) < static_cast<std::uint64_t>(double_percent_)) {
      deliver(envelope);
    }
  }
  void deliver(const api::Envelope& envelope) {
    for (const auto& node : nodes_) {
      if (node->context.self == envelope.receiver) {
        time.schedule(milliseconds(1), [&node, envelope] { node->dispatcher.dispatch(envelope); });
      }
    }
  }

  int loss_percent_;
  int double_percent_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

class TenantLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantLimitsTest);
  CPPUNIT_TEST(limitHoldsOverTheZone);
  CPPUNIT_TEST(oneBusyNodeGetsMostOfTheLimit);
  CPPUNIT_TEST(callersThatWaitAsToldAreAdmitted);
  CPPUNIT_TEST(shareGrowsWhenNodesLeave);
  CPPUNIT_TEST(hugeRequestIsAdmittedInDebt);
  CPPUNIT_TEST(undeclaredTenantHasNoLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limitHoldsOverTheZone() {
    double grants = 0;
    testing::requireProperty("admitted over the zone within limit and burst", 100, [&] {
      const auto nodes = *rc::gen::inRange<std::size_t>(1, 8);
      Zone zone(nodes, *rc::gen::inRange(0, 50), *rc::gen::inRange(0, 50));
      const auto skew = *rc::gen::inRange<std::size_t>(1, 8);
      const auto per_step = *rc::gen::inRange(1, 5);
      constexpr int kSteps = 1000;
      double admitted = 0;
      for (int step = 0; step < kSteps; ++step) {
        zone.time.runFor(milliseconds(20));
        for (int number = 0; number < per_step; ++number) {
          const auto node = zone.random.below(std::min(skew, nodes));
          admitted += zone.ask(node, 100) ? 1 : 0;
        }
      }
      grants += zone.counters.total("cypresswall_admission_exchange_total");
      const double elapsed = 0.02 * kSteps;
      // Each node may hold one request of burst at least.
      RC_ASSERT(admitted <= kRequestLimit * (elapsed + 2) + static_cast<double>(nodes));
    });
    CPPUNIT_ASSERT(grants > 0);
  }

  void oneBusyNodeGetsMostOfTheLimit() {
    Zone zone(4, 0, 0);
    int admitted = 0;
    for (int step = 0; step < 3000; ++step) {
      zone.time.runFor(milliseconds(20));
      admitted += zone.ask(0, 0) ? 1 : 0;
      admitted += zone.ask(0, 0) ? 1 : 0;
    }
    // Without exchange it would be a quarter: 600 and the burst.
    CPPUNIT_ASSERT_GREATER(1500, admitted);
  }

  void callersThatWaitAsToldAreAdmitted() {
    testing::requireProperty("nine in ten that wait as told are admitted", 100, [] {
      Zone zone(1, 0, 0);
      const auto callers = *rc::gen::inRange(1, 400);
      int refused = 0;
      int admitted_later = 0;
      for (int number = 0; number < callers; ++number) {
        const auto refusal = zone.refusal(0, 0);
        if (!refusal) {
          continue;
        }
        ++refused;
        zone.time.schedule(refusal->retry_after,
                           [&zone, &admitted_later] { admitted_later += zone.ask(0, 0) ? 1 : 0; });
      }
      zone.time.runFor(seconds(60));
      RC_ASSERT(admitted_later * 10 >= refused * 9);
    });
  }

  void shareGrowsWhenNodesLeave() {
    Zone zone(4, 100, 0);
    CPPUNIT_ASSERT_EQUAL(20, admittedAtOnce(zone));
    zone.membership.member_list[1].state = membership::MemberState::kLeaving;
    zone.membership.member_list.pop_back();
    zone.membership.changed();
    zone.time.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(40, admittedAtOnce(zone));
  }

  void hugeRequestIsAdmittedInDebt() {
    Zone zone(1, 0, 0);
    CPPUNIT_ASSERT(zone.ask(0, 40000));
    const auto refusal = zone.refusal(0, 100);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::kTenantTokenLimit);
    CPPUNIT_ASSERT(refusal->retry_after > seconds(2));
    zone.time.runFor(refusal->retry_after);
    CPPUNIT_ASSERT(zone.ask(0, 100));
  }

  void undeclaredTenantHasNoLimit() {
    Zone zone(1, 0, 0);
    zone.configuration.fleet.tenants.clear();
    for (int number = 0; number < 1000; ++number) {
      CPPUNIT_ASSERT(zone.ask(0, 1000000));
    }
  }

 private:
  static int admittedAtOnce(Zone& zone) {
    int admitted = 0;
    while (zone.ask(0, 0)) {
      ++admitted;
    }
    return admitted;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantLimitsTest);

}  // namespace
}  // namespace cypresswall::admission
