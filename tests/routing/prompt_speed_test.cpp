#include "cypresswall/routing/prompt_speed.h"

#include <cmath>

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

constexpr const char* kModel = "m";
constexpr double kAssumedLatency = 0.02;

class PromptSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptSpeedTest);
  CPPUNIT_TEST(assumptionsApplyBeforeAnySample);
  CPPUNIT_TEST(latencyAndScaleAreSeparated);
  CPPUNIT_TEST(oneStalledPromptChangesLittle);
  CPPUNIT_TEST(slowEngineIsDistinguishedFromItsModel);
  CPPUNIT_TEST(slowEngineIsTriedAgain);
  CPPUNIT_TEST(restartedEngineHasItsModelsSpeed);
  CPPUNIT_TEST(anySpeedIsLearned);
  CPPUNIT_TEST(assumptionsApplyWhenLearningIsDisabled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void assumptionsApplyBeforeAnySample() {
    const PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedLatency, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kAssumedLatency, speed.fixed_latency, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.scale, 1e-9);
  }

  void assumptionsApplyWhenLearningIsDisabled() {
    PromptSpeedSettings settings;
    settings.learns = false;
    PromptSpeedEstimator speeds{settings};
    teach(speeds, 0, 0.006, 0.16, 100);
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedLatency, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kAssumedLatency, speed.fixed_latency, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.scale, 1e-9);
  }

  void latencyAndScaleAreSeparated() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.16, 100);
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedLatency, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.006, speed.fixed_latency, 0.002);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.16, speed.scale, 0.02);
  }

  void oneStalledPromptChangesLittle() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.16, 100);
    speeds.add(kModel, 1, {0.1, 3.0, true}, kAssumedLatency, 10);
    CPPUNIT_ASSERT(speeds.speed(kModel, 2, kAssumedLatency, 10).scale < 0.2);
  }

  void slowEngineIsDistinguishedFromItsModel() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    for (int i = 0; i < 20; ++i) {
      for (EngineSlot slot = 0; slot < 5; ++slot) {
        const double scale = slot == 4 ? 1.0 : 0.2;
        speeds.add(kModel, slot, {0.1, 0.006 + scale * 0.1, true}, kAssumedLatency, 10 + i * 0.05);
      }
    }
    CPPUNIT_ASSERT(speeds.speed(kModel, 4, kAssumedLatency, 11).scale > 0.8);
    CPPUNIT_ASSERT(speeds.speed(kModel, 0, kAssumedLatency, 11).scale < 0.3);
  }

  void slowEngineIsTriedAgain() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.2, 50);
    for (int i = 0; i < 8; ++i) {
      speeds.add(kModel, 1, {0.1, 0.106, true}, kAssumedLatency, 10);
    }
    const double slow = speeds.speed(kModel, 1, kAssumedLatency, 10).scale;
    CPPUNIT_ASSERT(slow > 0.6);
    CPPUNIT_ASSERT(speeds.speed(kModel, 1, kAssumedLatency, 40).scale < slow / 2);
  }

  void restartedEngineHasItsModelsSpeed() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.2, 50);
    speeds.add(kModel, 1, {0.1, 0.106, true}, kAssumedLatency, 10);
    speeds.forget(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(speeds.speed(kModel, 7, kAssumedLatency, 10).scale,
                                 speeds.speed(kModel, 1, kAssumedLatency, 10).scale, 1e-9);
  }

  void anySpeedIsLearned() {
    testing::requireProperty("durations are predicted within 10% after 200 prompts", 100, [] {
      const double fixed_latency = *rc::gen::inRange(1, 40) / 1000.0;
      const double scale = std::pow(10.0, *rc::gen::inRange(-150, 150) / 100.0);
      PromptSpeedEstimator speeds{PromptSpeedSettings{}};
      teach(speeds, 0, fixed_latency, scale, 200);
      const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedLatency, 10);
      for (const double nominal : {0.02, 0.1, 0.3}) {
        const double measured = fixed_latency + scale * nominal;
        RC_ASSERT(std::abs(speed.fixed_latency + speed.scale * nominal - measured) <
                  0.1 * measured + 0.001);
      }
    });
  }

 private:
  /// Adds samples of prompts of different lengths, every second one queued behind another.
  static void teach(PromptSpeedEstimator& speeds, EngineSlot slot, double fixed_latency,
                    double scale, int prompts) {
    for (int i = 0; i < prompts; ++i) {
      const double nominal = 0.02 + 0.01 * (i * 7 % 31);
      const bool includes_latency = i % 2 == 0;
      speeds.add(
          kModel, slot,
          {nominal, (includes_latency ? fixed_latency : 0) + scale * nominal, includes_latency},
          kAssumedLatency, 10);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptSpeedTest);

}  // namespace
}  // namespace cypresswall::routing
