#include "cypresswall/engine_speed/decode_speed_estimator.h"

#include <cmath>
#include <limits>

#include "cypresswall/common/random.h"
#include "tests/support/property.h"

namespace cypresswall::engine_speed {
namespace {

constexpr const char* kModel = "m";
constexpr DecodeCurve kNominal{0.005, 0.00003};

EngineSpeedSettings learning() {
  EngineSpeedSettings settings;
  settings.enabled = true;
  return settings;
}

std::string nameOf(EngineIndex engine) {
  std::string name = "e";
  return name.append(std::to_string(engine));
}

EngineFacts factsOf(const std::string& name, std::uint64_t incarnation = 1) {
  return {name, incarnation, kModel, kNominal, 48};
}

/// Engines that deliver one token for several declared ones, with steps that grow with the streams.
class Engines {
 public:
  static constexpr double kDeclaredPerToken = 15;
  static constexpr double kTokens = 20;

  explicit Engines(DecodeSpeedEstimator& speeds, EngineIndex count) : speeds_(speeds) {
    for (EngineIndex engine = 0; engine < count; ++engine) {
      speeds_.engineReported(engine, factsOf(nameOf(engine)), now);
    }
  }

  /// Seconds between two tokens.
  static double step(double streams, double factor) { return factor * (0.04 + 0.002 * streams); }

  /// Runs one answer on an engine with `streams` streams.
  void answer(EngineIndex engine, double streams, double factor, double tokens = kTokens) {
    const std::string stream = std::to_string(++streams_);
    speeds_.setStreams(engine, streams, now);
    speeds_.streamStarted(stream, engine, kDeclaredPerToken * (tokens + 1), now);
    speeds_.firstToken(stream, now);
    const double seconds = tokens * step(streams, factor);
    const double end = now + seconds;
    speeds_.outputMeasured(stream, {tokens, seconds, 1.2 * step(streams, factor)}, end);
    speeds_.completed(stream, end);
    now += 0.01;
  }

  double expected(EngineIndex engine, double streams) const {
    const DecodeSpeed speed = speeds_.speed(engine, now + 1);
    return speed.curve.seconds(streams) * speed.factor * speed.tokens_per_delivery;
  }

  double now = 100;

 private:
  DecodeSpeedEstimator& speeds_;
  int streams_ = 0;
};

class DecodeSpeedEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecodeSpeedEstimatorTest);
  CPPUNIT_TEST(nominalStepAppliesBeforeAnyOutput);
  CPPUNIT_TEST(curveAndFactorsAreLearned);
  CPPUNIT_TEST(fewDifferentStreamsKeepTheNominalShape);
  CPPUNIT_TEST(completedAnswersAreEnoughForTheCurve);
  CPPUNIT_TEST(spellFadesAsFastAsItCame);
  CPPUNIT_TEST(promptsBetweenStepsAreNotSlowness);
  CPPUNIT_TEST(pausesChangeTheRisksOnly);
  CPPUNIT_TEST(restoredSpeedsApplyToTheSameLife);
  CPPUNIT_TEST(unusableStoredSpeedsAreIgnored);
  CPPUNIT_TEST(stateIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nominalStepAppliesBeforeAnyOutput() {
    DecodeSpeedEstimator speeds(learning());
    speeds.engineReported(3, factsOf("e"), 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kNominal.seconds(10), speeds.speed(3, 0).curve.seconds(10), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.speed(3, 0).factor, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.speed(7, 0).factor, 1e-9);
  }

  void curveAndFactorsAreLearned() {
    testing::requireProperty("uneven engines are told apart", 20, [] {
      DecodeSpeedEstimator speeds(learning());
      Engines engines(speeds, 6);
      common::SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
      runUneven(engines, random, 1200);
      for (const EngineIndex engine : {0U, 1U}) {
        for (const double streams : {4.0, 24.0, 40.0}) {
          const double truth = Engines::step(streams, factorOf(engine));
          RC_ASSERT(std::abs(engines.expected(engine, streams) / truth - 1) < 0.15);
        }
      }
      const double per_delivery = speeds.speed(0, engines.now).tokens_per_delivery;
      RC_ASSERT(std::abs(per_delivery / Engines::kDeclaredPerToken - 1) < 0.1);
    });
  }

  void fewDifferentStreamsKeepTheNominalShape() {
    DecodeSpeedEstimator speeds(learning());
    Engines engines(speeds, 2);
    for (int i = 0; i < 100; ++i) {
      engines.answer(0, 10, 1);
    }
    const DecodeCurve curve = speeds.speed(0, engines.now).curve;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kNominal.seconds(40) / kNominal.seconds(10),
                                 curve.seconds(40) / curve.seconds(10), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Engines::step(10, 1), engines.expected(0, 10), 0.003);
  }

  /// Nodes with an earlier build report no output.
  void completedAnswersAreEnoughForTheCurve() {
    DecodeSpeedEstimator speeds(learning());
    speeds.engineReported(0, factsOf("e"), 0);
    double now = 0;
    for (int i = 0; i < 400; ++i) {
      const double streams = 1 + i % 40;
      speeds.setStreams(0, streams, now);
      speeds.streamStarted("s", 0, 101, now);
      speeds.firstToken("s", now);
      now += 100 * (0.003 + 0.0001 * streams);
      speeds.completed("s", now);
    }
    const DecodeSpeed speed = speeds.speed(0, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.005, speed.factor * speed.curve.seconds(20), 0.0003);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.007, speed.factor * speed.curve.seconds(40), 0.0005);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.tokens_per_delivery, 1e-9);
  }

  void spellFadesAsFastAsItCame() {
    DecodeSpeedEstimator speeds(learning());
    Engines engines(speeds, 4);
    for (int i = 0; i < 400; ++i) {
      engines.answer(i % 4, 5 + i % 30, 1);
    }
    for (int i = 0; i < 12; ++i) {
      engines.answer(0, 10, 2.5, 2);
    }
    CPPUNIT_ASSERT(speeds.speed(0, engines.now).factor > 1.6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.speed(1, engines.now).factor, 0.1);
    // Measured output after the spell.
    for (int i = 0; i < 12; ++i) {
      engines.answer(0, 10, 1, 2);
      engines.now += 0.03;
    }
    CPPUNIT_ASSERT(speeds.speed(0, engines.now).factor < 1.5);
    // Without any output, the engine is tried again after some seconds.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.speed(0, engines.now + 30).factor, 0.1);
  }

  void promptsBetweenStepsAreNotSlowness() {
    DecodeSpeedEstimator speeds(learning());
    speeds.engineReported(0, factsOf("e"), 0);
    double now = 0;
    for (int i = 0; i < 300; ++i) {
      const bool with_prompt = i % 2 == 0;
      speeds.setStreams(0, 10, now);
      speeds.streamStarted("s", 0, 0, now);
      speeds.firstToken("s", now);
      if (with_prompt) {
        speeds.promptSent(0, 0.3);
      }
      const double seconds = 1.0 + (with_prompt ? 0.3 : 0.0);
      now += seconds;
      speeds.outputMeasured("s", {20, seconds, with_prompt ? 0.35 : 0.05}, now);
      speeds.ended("s");
    }
    const DecodeSpeed speed = speeds.speed(0, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, speed.factor * speed.curve.seconds(10), 0.002);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, speeds.promptPause(kModel), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, speeds.promptPause("other"), 1e-9);
  }

  void pausesChangeTheRisksOnly() {
    DecodeSpeedEstimator speeds(learning());
    speeds.engineReported(0, factsOf("e"), 0);
    const double assumed = speeds.ratios(kModel).pauses.exceeds(std::log(4.0));
    double now = 0;
    for (int i = 0; i < 300; ++i) {
      speeds.setStreams(0, 10, now);
      speeds.streamStarted("s", 0, 0, now);
      speeds.firstToken("s", now);
      now += 1;
      speeds.outputMeasured("s", {20, 1, i % 4 == 0 ? 0.25 : 0.06}, now);
      speeds.ended("s");
    }
    const RatioDistribution& pauses = speeds.ratios(kModel).pauses;
    CPPUNIT_ASSERT(pauses.exceeds(std::log(4.0)) > 5 * assumed);
    CPPUNIT_ASSERT(pauses.exceeds(std::log(20.0)) < 0.02);
    CPPUNIT_ASSERT(pauses.exceeds(std::log(0.5)) > 0.9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speeds.speed(0, now).lasting_factor, 0.05);
  }

  void restoredSpeedsApplyToTheSameLife() {
    DecodeSpeedEstimator before(learning());
    Engines engines(before, 6);
    common::SeededRandom random(3);
    runUneven(engines, random, 1200);
    const std::string bytes = before.encode(engines.now);
    CPPUNIT_ASSERT(bytes.size() < 1000);
    DecodeSpeedEstimator after(learning());
    CPPUNIT_ASSERT(after.restore(bytes, std::chrono::seconds(10)));
    after.engineReported(0, factsOf("e0"), 5);
    after.engineReported(1, factsOf("e1", 2), 5);  // restarted
    after.engineReported(2, factsOf("new"), 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(before.speed(0, engines.now).lasting_factor,
                                 after.speed(0, 5).lasting_factor, 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, after.speed(1, 5).lasting_factor, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, after.speed(2, 5).lasting_factor, 1e-9);
    const DecodeSpeed old_speed = before.speed(2, engines.now);
    const DecodeSpeed new_speed = after.speed(2, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, new_speed.curve.seconds(30) / old_speed.curve.seconds(30), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, new_speed.tokens_per_delivery / old_speed.tokens_per_delivery,
                                 1e-6);
  }

  void unusableStoredSpeedsAreIgnored() {
    DecodeSpeedEstimator speeds(learning());
    speeds.engineReported(0, factsOf("e"), 0);
    CPPUNIT_ASSERT(!speeds.restore("", common::Duration{0}));
    CPPUNIT_ASSERT(!speeds.restore("not packed", common::Duration{0}));
    CPPUNIT_ASSERT(!speeds.restore(std::string(1 << 20, '\x90'), common::Duration{0}));
    DecodeSpeedEstimator other(learning());
    Engines engines(other, 1);
    for (int i = 0; i < 50; ++i) {
      engines.answer(0, 10, std::numeric_limits<double>::quiet_NaN());
    }
    speeds.restore(other.encode(engines.now), -std::chrono::hours(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kNominal.seconds(5), speeds.speed(0, 1).curve.seconds(5), 1e-9);
    testing::requireProperty("any bytes leave usable speeds", 200, [] {
      DecodeSpeedEstimator target(learning());
      target.engineReported(0, factsOf("e"), 0);
      target.restore(*rc::gen::arbitrary<std::string>(), std::chrono::seconds(1));
      RC_ASSERT(target.speed(0, 0).factor > 0);
    });
  }

  void stateIsBounded() {
    DecodeSpeedEstimator speeds(learning());
    Engines engines(speeds, 3000);
    for (int i = 0; i < 9000; ++i) {
      engines.answer(i % 3000, 10, 1.5);
    }
    CPPUNIT_ASSERT(speeds.encode(engines.now).size() < 32 * 1024);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3000}, speeds.view(engines.now).size());
  }

 private:
  static double factorOf(EngineIndex engine) { return engine % 3 == 0 ? 1.7 : 0.7; }

  /// Gives faster engines more streams, as placement does.
  static void runUneven(Engines& engines, common::SeededRandom& random, int answers) {
    for (int i = 0; i < answers; ++i) {
      const auto engine = static_cast<EngineIndex>(i % 6);
      const double mean = factorOf(engine) > 1 ? 12 : 30;
      const double streams = mean * (0.5 + random.unit());
      engines.answer(engine, streams, factorOf(engine) * (0.9 + 0.2 * random.unit()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeSpeedEstimatorTest);

}  // namespace
}  // namespace cypresswall::engine_speed
