/// Load pattern: many more calls than the back ends of a plain service can take. They queue at the
/// back ends, so that all are answered late, unless those beyond the capacity are refused at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <queue>
#include <vector>

#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/fleet_limits/pool_ledger.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPool = "service/booking";
constexpr auto kUrgency = configuration::Urgency::kNormal;
/// Four back ends of six slots, with a queue of 24 calls each.
constexpr std::size_t kSlots = 24;
constexpr std::size_t kQueue = 96;
constexpr auto kWork = milliseconds(30);
constexpr double kCapacity = 800;
/// Three times the time of a call alone.
constexpr auto kInTime = milliseconds(90);
constexpr auto kRound = milliseconds(200);

struct Served {
  double asked = 0;
  double in_time = 0;
  double late = 0;
  double refused_by_backend = 0;
  double refused_at_once = 0;
};

/// One node before back ends that work first come, first served; its counts go to a ledger.
class ServiceUnderLoad {
 public:
  explicit ServiceUnderLoad(bool limits) : limits_(limits) {}

  Served load(common::Duration duration, double rate) {
    served_ = {};
    const auto end = simulation_.time().now() + duration;
    while (simulation_.time().now() < end) {
      send();
      run(common::fromSeconds(2 * simulation_.random().unit() / rate));
    }
    return served_;
  }

 private:
  void send() {
    const auto now = simulation_.time().now();
    ShareRequest request;
    request.pool = kPool;
    request.tenant = "default";
    request.urgency = kUrgency;
    ++served_.asked;
    if (limits_ && shares_.decide(request).retry_after) {
      ++served_.refused_at_once;
      return;
    }
    shares_.recordAdmitted(request);
    if (in_progress_.size() >= kSlots + kQueue) {
      ++served_.refused_by_backend;
      shares_.recordPlaced(kPool, kUrgency, true);
      return;
    }
    auto slot = std::min_element(free_at_.begin(), free_at_.end());
    const auto work =
        common::fromSeconds(common::toSeconds(kWork) * (0.5 + simulation_.random().unit()));
    *slot = std::max(*slot, now) + work;
    in_progress_.push({*slot, now});
  }

  void run(common::Duration time) {
    simulation_.time().runFor(time);
    const auto now = simulation_.time().now();
    while (!in_progress_.empty() && in_progress_.top().first <= now) {
      const auto [ended, sent] = in_progress_.top();
      in_progress_.pop();
      shares_.recordAnswer(kPool, kUrgency, ended - sent);
      ++(ended - sent <= kInTime ? served_.in_time : served_.late);
    }
    if (now >= round_at_ + kRound) {
      round_at_ = now;
      ledger_.add(shares_.takeReport(kPool));
      auto told = ledger_.close(now);
      told.pool = kPool;
      shares_.apply(told);
    }
  }

  using Call = std::pair<common::MonotonicTime, common::MonotonicTime>;

  const bool limits_;
  simulation::Simulation simulation_{1};
  common::CounterRegistry counters_;
  FairShares shares_{{}, simulation_.time(), simulation_.random(), counters_};
  common::MonotonicTime round_at_ = simulation_.time().now();
  fleet_limits::PoolLedger ledger_{{}, round_at_};
  std::vector<common::MonotonicTime> free_at_ = std::vector<common::MonotonicTime>(kSlots);
  std::priority_queue<Call, std::vector<Call>, std::greater<>> in_progress_;
  Served served_;
};

class ServiceLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceLimitTest);
  CPPUNIT_TEST(callsBeyondTheCapacityAreRefusedAtOnce);
  CPPUNIT_TEST(withoutLimitNearlyAllAreLate);
  CPPUNIT_TEST(calmServiceRefusesNothing);
  CPPUNIT_TEST(singleSlowAnswersAreNoQueue);
  CPPUNIT_TEST(baselineFollowsAServiceThatBecameSlower);
  CPPUNIT_TEST_SUITE_END();

 public:
  void callsBeyondTheCapacityAreRefusedAtOnce() {
    for (const double times : {1.5, 3.0, 6.0}) {
      ServiceUnderLoad service(true);
      service.load(seconds(10), 0.2 * kCapacity);
      const Served served = service.load(seconds(20), times * kCapacity);
      // Most of the capacity goes to answers in time.
      CPPUNIT_ASSERT_GREATEREQUAL(0.7 * kCapacity * 20, served.in_time);
      CPPUNIT_ASSERT_GREATER(4 * served.late, served.in_time);
      CPPUNIT_ASSERT_GREATER(4 * served.refused_by_backend, served.refused_at_once);
    }
  }

  void withoutLimitNearlyAllAreLate() {
    ServiceUnderLoad service(false);
    service.load(seconds(10), 0.2 * kCapacity);
    const Served served = service.load(seconds(20), 3 * kCapacity);
    CPPUNIT_ASSERT_LESS(0.1 * served.late, served.in_time);
  }

  void calmServiceRefusesNothing() {
    ServiceUnderLoad service(true);
    service.load(seconds(10), 0.2 * kCapacity);
    const Served served = service.load(seconds(30), 0.8 * kCapacity);
    CPPUNIT_ASSERT_EQUAL(0.0, served.refused_at_once);
  }

  void singleSlowAnswersAreNoQueue() {
    LatencyBaseline baseline;
    common::MonotonicTime now{};
    for (int number = 0; number < 1000; ++number) {
      const bool slow = number % 100 == 99;
      now += milliseconds(10);
      CPPUNIT_ASSERT_EQUAL(slow, baseline.record(slow ? seconds(30) : kWork, false, now));
    }
    CPPUNIT_ASSERT(baseline.value() < 2 * kWork);
  }

  void baselineFollowsAServiceThatBecameSlower() {
    LatencyBaseline baseline;
    common::MonotonicTime now{};
    for (int number = 0; number < 100; ++number) {
      baseline.record(kWork, false, now += milliseconds(10));
    }
    bool delayed = true;
    for (int number = 0; number < 60000; ++number) {
      delayed = baseline.record(4 * kWork, true, now += milliseconds(10));
    }
    CPPUNIT_ASSERT(!delayed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceLimitTest);

}  // namespace
}  // namespace cypresswall::admission
