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

/// A zone of gateway nodes whose messages can be lost or duplicated.
class Zone final : private api::PeerTransport {
 public:
  Zone(std::size_t nodes, int loss_percent, int duplicate_percent)
      : loss_percent_(loss_percent), duplicate_percent_(duplicate_percent) {
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

  bool admit(std::size_t node, std::uint32_t tokens) { return !take(node, tokens); }
  std::optional<Refusal> take(std::size_t node, std::uint32_t tokens) {
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
    if (random.below(100) < static_cast<std::uint64_t>(duplicate_percent_)) {
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
  int duplicate_percent_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

class TenantLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantLimitsTest);
  CPPUNIT_TEST(limitHoldsAcrossTheZone);
  CPPUNIT_TEST(oneBusyNodeGetsMostOfTheLimit);
  CPPUNIT_TEST(callersThatHonorRetryAfterAreAdmitted);
  CPPUNIT_TEST(shareGrowsWhenNodesLeave);
  CPPUNIT_TEST(oversizedRequestPutsBucketInDebt);
  CPPUNIT_TEST(undeclaredTenantHasNoLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limitHoldsAcrossTheZone() {
    double grants = 0;
    testing::requireProperty("requests admitted in the zone stay within limit and burst", 100, [&] {
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
          admitted += zone.admit(node, 100) ? 1 : 0;
        }
      }
      grants += zone.counters.total("cypresswall_admission_exchange_total");
      const double elapsed = 0.02 * kSteps;
      // Every node's bucket holds at least one request.
      RC_ASSERT(admitted <= kRequestLimit * (elapsed + 2) + static_cast<double>(nodes));
    });
    CPPUNIT_ASSERT(grants > 0);
  }

  void oneBusyNodeGetsMostOfTheLimit() {
    Zone zone(4, 0, 0);
    int admitted = 0;
    for (int step = 0; step < 3000; ++step) {
      zone.time.runFor(milliseconds(20));
      admitted += zone.admit(0, 0) ? 1 : 0;
      admitted += zone.admit(0, 0) ? 1 : 0;
    }
    // Without the exchange of allowance it would be a quarter of the limit: 600 plus the burst.
    CPPUNIT_ASSERT_GREATER(1500, admitted);
  }

  void callersThatHonorRetryAfterAreAdmitted() {
    testing::requireProperty("nine in ten callers that honor Retry-After are admitted", 100, [] {
      Zone zone(1, 0, 0);
      const auto callers = *rc::gen::inRange(1, 400);
      int refused = 0;
      int admitted_later = 0;
      for (int number = 0; number < callers; ++number) {
        const auto refusal = zone.take(0, 0);
        if (!refusal) {
          continue;
        }
        ++refused;
        zone.time.schedule(refusal->retry_after, [&zone, &admitted_later] {
          admitted_later += zone.admit(0, 0) ? 1 : 0;
        });
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

  void oversizedRequestPutsBucketInDebt() {
    Zone zone(1, 0, 0);
    CPPUNIT_ASSERT(zone.admit(0, 40000));
    const auto refusal = zone.take(0, 100);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::kTenantTokenLimit);
    CPPUNIT_ASSERT(refusal->retry_after > seconds(2));
    zone.time.runFor(refusal->retry_after);
    CPPUNIT_ASSERT(zone.admit(0, 100));
  }

  void undeclaredTenantHasNoLimit() {
    Zone zone(1, 0, 0);
    zone.configuration.fleet.tenants.clear();
    for (int number = 0; number < 1000; ++number) {
      CPPUNIT_ASSERT(zone.admit(0, 1000000));
    }
  }

 private:
  static int admittedAtOnce(Zone& zone) {
    int admitted = 0;
    while (zone.admit(0, 0)) {
      ++admitted;
    }
    return admitted;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantLimitsTest);

}  // namespace
}  // namespace cypresswall::admission
