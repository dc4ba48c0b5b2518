#include "cypresswall/routing/prompt_speed.h"

#include <cmath>

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

constexpr const char* kModel = "m";
constexpr double kAssumedWay = 0.02;

class PromptSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptSpeedTest);
  CPPUNIT_TEST(assumptionsHoldUntilSamplesCome);
  CPPUNIT_TEST(wayAndScaleAreToldApart);
  CPPUNIT_TEST(oneStalledPromptChangesLittle);
  CPPUNIT_TEST(aSlowEngineIsToldFromItsModel);
  CPPUNIT_TEST(aSlowEngineIsTriedAgain);
  CPPUNIT_TEST(aRestartedEngineHasItsModelsSpeed);
  CPPUNIT_TEST(anySpeedIsLearnt);
  CPPUNIT_TEST(switchedOffAssumptionsHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void assumptionsHoldUntilSamplesCome() {
    const PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedWay, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kAssumedWay, speed.fixed_latency, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.scale, 1e-9);
  }

  void switchedOffAssumptionsHold() {
    PromptSpeedSettings settings;
    settings.learns = false;
    PromptSpeedEstimator speeds{settings};
    teach(speeds, 0, 0.006, 0.16, 100);
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedWay, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kAssumedWay, speed.fixed_latency, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.scale, 1e-9);
  }

  void wayAndScaleAreToldApart() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.16, 100);
    const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedWay, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.006, speed.fixed_latency, 0.002);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.16, speed.scale, 0.02);
  }

  void oneStalledPromptChangesLittle() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.16, 100);
    speeds.add(kModel, 1, {0.1, 3.0, true}, kAssumedWay, 10);
    CPPUNIT_ASSERT(speeds.speed(kModel, 2, kAssumedWay, 10).scale < 0.2);
  }

  void aSlowEngineIsToldFromItsModel() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    for (int i = 0; i < 20; ++i) {
      for (EngineSlot slot = 0; slot < 5; ++slot) {
        const double scale = slot == 4 ? 1.0 : 0.2;
        speeds.add(kModel, slot, {0.1, 0.006 + scale * 0.1, true}, kAssumedWay, 10 + i * 0.05);
      }
    }
    CPPUNIT_ASSERT(speeds.speed(kModel, 4, kAssumedWay, 11).scale > 0.8);
    CPPUNIT_ASSERT(speeds.speed(kModel, 0, kAssumedWay, 11).scale < 0.3);
  }

  void aSlowEngineIsTriedAgain() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.2, 50);
    for (int i = 0; i < 8; ++i) {
      speeds.add(kModel, 1, {0.1, 0.106, true}, kAssumedWay, 10);
    }
    const double slow = speeds.speed(kModel, 1, kAssumedWay, 10).scale;
    CPPUNIT_ASSERT(slow > 0.6);
    CPPUNIT_ASSERT(speeds.speed(kModel, 1, kAssumedWay, 40).scale < slow / 2);
  }

  void aRestartedEngineHasItsModelsSpeed() {
    PromptSpeedEstimator speeds{PromptSpeedSettings{}};
    teach(speeds, 0, 0.006, 0.2, 50);
    speeds.add(kModel, 1, {0.1, 0.106, true}, kAssumedWay, 10);
    speeds.forget(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(speeds.speed(kModel, 7, kAssumedWay, 10).scale,
                                 speeds.speed(kModel, 1, kAssumedWay, 10).scale, 1e-9);
  }

  void anySpeedIsLearnt() {
    testing::requireProperty("times are foretold within a tenth after 200 prompts", 100, [] {
      const double way = *rc::gen::inRange(1, 40) / 1000.0;
      const double scale = std::pow(10.0, *rc::gen::inRange(-150, 150) / 100.0);
      PromptSpeedEstimator speeds{PromptSpeedSettings{}};
      teach(speeds, 0, way, scale, 200);
      const PromptSpeed speed = speeds.speed(kModel, 0, kAssumedWay, 10);
      for (const double promised : {0.02, 0.1, 0.3}) {
        const double taken = way + scale * promised;
        RC_ASSERT(std::abs(speed.fixed_latency + speed.scale * promised - taken) <
                  0.1 * taken + 0.001);
      }
    });
  }

 private:
  /// Computes prompts of different lengths, every second one queued behind another.
  static void teach(PromptSpeedEstimator& speeds, EngineSlot slot, double way, double scale,
                    int prompts) {
    for (int i = 0; i < prompts; ++i) {
      const double promised = 0.02 + 0.01 * (i * 7 % 31);
      const bool with_way = i % 2 == 0;
      speeds.add(kModel, slot, {promised, (with_way ? way : 0) + scale * promised, with_way},
                 kAssumedWay, 10);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptSpeedTest);

}  // namespace
}  // namespace cypresswall::routing
