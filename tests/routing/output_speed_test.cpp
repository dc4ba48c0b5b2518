#include "cypresswall/routing/output_speed.h"

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

constexpr const char* kModel = "m";

class OutputSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutputSpeedTest);
  CPPUNIT_TEST(nominalStepsApplyBeforeAnyAnswer);
  CPPUNIT_TEST(slowStepsAreLearned);
  CPPUNIT_TEST(brokenAnswersAreIgnored);
  CPPUNIT_TEST(longAnswersDominateRemainingTime);
  CPPUNIT_TEST(stepsAndRemainingTimeAreSwitchedIndependently);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nominalStepsApplyBeforeAnyAnswer() {
    const OutputSpeedEstimator speeds{OutputSpeedSettings{}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.scale(kModel), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, speeds.remainingSeconds(kModel), 1e-9);
  }

  void slowStepsAreLearned() {
    OutputSpeedEstimator speeds{OutputSpeedSettings{}};
    for (int i = 0; i < 40; ++i) {
      answer(speeds, 0.5, 3.5);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7, speeds.scale(kModel), 0.3);
  }

  void brokenAnswersAreIgnored() {
    OutputSpeedEstimator speeds{OutputSpeedSettings{}};
    speeds.begin("a", kModel, 0.5, 10);
    speeds.forget("a");
    speeds.complete("a", 100);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.scale(kModel), 1e-9);
  }

  /// With nine answers of 20 ms for each one of 3 s, nearly all streams observed while running are
  /// long ones.
  void longAnswersDominateRemainingTime() {
    OutputSpeedEstimator speeds{OutputSpeedSettings{}};
    for (int i = 0; i < 1000; ++i) {
      answer(speeds, 0, i % 10 == 0 ? 3.0 : 0.02);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.4, speeds.remainingSeconds(kModel), 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.scale(kModel), 1e-9);
  }

  void stepsAndRemainingTimeAreSwitchedIndependently() {
    for (const bool steps : {true, false}) {
      for (const bool remaining : {true, false}) {
        OutputSpeedSettings settings;
        settings.learns_steps = steps;
        settings.learns_remaining_time = remaining;
        OutputSpeedEstimator speeds{settings};
        for (int i = 0; i < 40; ++i) {
          answer(speeds, 0.5, 3.5);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(steps ? 7.0 : 1.0, speeds.scale(kModel), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(remaining ? 1.75 : 0.0, speeds.remainingSeconds(kModel), 0.01);
      }
    }
  }

 private:
  static void answer(OutputSpeedEstimator& speeds, double nominal, double duration) {
    speeds.begin("a", kModel, nominal, 10);
    speeds.complete("a", 10 + duration);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutputSpeedTest);

}  // namespace
}  // namespace cypresswall::routing
