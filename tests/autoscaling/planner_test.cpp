#include "cypresswall/autoscaling/planner.h"

#include <string>

#include "tests/support/property.h"

namespace cypresswall::autoscaling {
namespace {

configuration::AutoscalingDeclaration declaration() {
  configuration::AutoscalingDeclaration declared;
  declared.pool = "llm";
  declared.minimum_engines = 1;
  declared.maximum_engines = 36;
  declared.boot_time = std::chrono::seconds(4);
  declared.preemptible_price = 0.22;
  declared.location_prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
  return declared;
}

PoolLoad load(double busy_engines) { return {busy_engines, 0.1, 0.4}; }

PoolInput input(std::vector<PoolLoad> loads) {
  PoolInput input;
  input.declaration = declaration();
  for (const char* location : {"a", "b", "c", "d"}) {
    input.present[location] = {18, 0};
  }
  input.retained = 72;
  input.loads = std::move(loads);
  input.may_shrink = true;
  return input;
}

std::uint32_t total(const PoolCounts& counts) { return totalOf(counts); }

PoolPlan plan(Policy policy, const PoolInput& input) {
  AutoscalingSettings settings;
  settings.policy = policy;
  settings.first_bill_share = 0;
  return makePlanner(settings)->plan(input);
}

class AutoscalingPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AutoscalingPlannerTest);
  CPPUNIT_TEST(doesNotShrinkBeforeDemandIsKnown);
  CPPUNIT_TEST(peakLoadDeterminesSize);
  CPPUNIT_TEST(moreLoadNeverWantsFewerEngines);
  CPPUNIT_TEST(higherPriceMeansFewerEngines);
  CPPUNIT_TEST(higherLossShareAddsEngines);
  CPPUNIT_TEST(otherLocationsCoverUnavailableOne);
  CPPUNIT_TEST(allLastingWithoutCheaperPreemptible);
  CPPUNIT_TEST(boundsAndEvennessHoldForAnyLoad);
  CPPUNIT_TEST(lateShareGrowsWithUtilisation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void doesNotShrinkBeforeDemandIsKnown() {
    for (const Policy policy : {Policy::kThreshold, Policy::kWorth}) {
      PoolInput no_loads = input({});
      no_loads.may_shrink = false;
      CPPUNIT_ASSERT_EQUAL(72U, total(plan(policy, no_loads).wanted));
      PoolInput one_load = input({load(0.1)});
      one_load.may_shrink = false;
      CPPUNIT_ASSERT_EQUAL(72U, total(plan(policy, one_load).wanted));
      one_load.may_shrink = true;
      CPPUNIT_ASSERT(total(plan(policy, one_load).wanted) < 72);
    }
  }

  /// A drop in demand that is shorter than the boot time must not release engines.
  void peakLoadDeterminesSize() {
    const auto peak = total(plan(Policy::kThreshold, input({load(20)})).wanted);
    const auto swing = total(plan(Policy::kThreshold, input({load(2), load(20), load(2)})).wanted);
    CPPUNIT_ASSERT_EQUAL(peak, swing);
    const auto trough = total(plan(Policy::kWorth, input({load(2), load(2), load(2)})).wanted);
    CPPUNIT_ASSERT(total(plan(Policy::kWorth, input({load(2), load(20), load(2)})).wanted) >
                   trough);
  }

  void moreLoadNeverWantsFewerEngines() {
    for (const Policy policy : {Policy::kThreshold, Policy::kWorth}) {
      std::uint32_t before = 0;
      for (double busy = 0.5; busy < 60; busy *= 1.5) {
        const auto wanted = total(plan(policy, input({load(busy)})).wanted);
        CPPUNIT_ASSERT(wanted >= before);
        before = wanted;
      }
    }
  }

  void higherPriceMeansFewerEngines() {
    PoolInput cheap = input({load(10)});
    PoolInput dear = cheap;
    dear.declaration.preemptible_price = 0.9;
    CPPUNIT_ASSERT(total(plan(Policy::kWorth, dear).wanted) <
                   total(plan(Policy::kWorth, cheap).wanted));
  }

  void higherLossShareAddsEngines() {
    AutoscalingSettings sure;
    sure.loss_share = 0;
    AutoscalingSettings risky;
    risky.loss_share = 0.5;
    const PoolInput loaded = input({load(10)});
    CPPUNIT_ASSERT(total(makePlanner(risky)->plan(loaded).wanted) >
                   total(makePlanner(sure)->plan(loaded).wanted));
  }

  void otherLocationsCoverUnavailableOne() {
    PoolInput whole = input({load(15)});
    const PoolCounts before = plan(Policy::kWorth, whole).wanted;
    whole.present["b"] = {0, 0};
    whole.without_preemptible = {"b"};
    const PoolCounts after = plan(Policy::kWorth, whole).wanted;
    CPPUNIT_ASSERT(after.at("b") == before.at("b"));
    const auto others = [](const PoolCounts& counts) {
      return total(counts) - counts.at("b").total();
    };
    CPPUNIT_ASSERT_EQUAL(std::min(total(before), 3 * 36U), others(after));
  }

  void allLastingWithoutCheaperPreemptible() {
    for (const double price : {0.0, 1.0, 1.5}) {
      PoolInput only_lasting = input({load(10)});
      only_lasting.declaration.preemptible_price = price;
      for (const auto& [location, counts] : plan(Policy::kWorth, only_lasting).wanted) {
        CPPUNIT_ASSERT_EQUAL(0U, counts.preemptible);
      }
    }
  }

  void boundsAndEvennessHoldForAnyLoad() {
    testing::requireProperty("bounds of engines hold for any load", 300, [] {
      PoolInput any = input({load(*rc::gen::inRange(0, 200) / 2.0)});
      any.declaration.minimum_engines = static_cast<std::uint32_t>(*rc::gen::inRange(0, 5));
      any.declaration.maximum_engines = static_cast<std::uint32_t>(*rc::gen::inRange(5, 40));
      any.may_shrink = *rc::gen::arbitrary<bool>();
      const auto policy = *rc::gen::element(Policy::kThreshold, Policy::kWorth);
      std::uint32_t least = UINT32_MAX;
      std::uint32_t most = 0;
      for (const auto& [location, counts] : plan(policy, any).wanted) {
        least = std::min(least, counts.total());
        most = std::max(most, counts.total());
      }
      RC_ASSERT(least >= any.declaration.minimum_engines);
      RC_ASSERT(most <= any.declaration.maximum_engines);
      RC_ASSERT(most - least <= 1);
    });
  }

  void lateShareGrowsWithUtilisation() {
    CPPUNIT_ASSERT_EQUAL(0.0, lateShare(0, load(1)));
    CPPUNIT_ASSERT(lateShare(0.3, load(1)) < lateShare(0.6, load(1)));
    CPPUNIT_ASSERT(lateShare(2, load(1)) >= 0.5);
    CPPUNIT_ASSERT(lateShare(50, load(1)) <= 1);
    CPPUNIT_ASSERT_EQUAL(1.0, lateShare(2, {1, 0, 0}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AutoscalingPlannerTest);

}  // namespace
}  // namespace cypresswall::autoscaling
