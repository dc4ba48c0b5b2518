/// Guards against an incident in which nodes resumed broken answers at engines of another software
/// build: the answer that the caller received was joined from the outputs of two builds.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/answer_builds/mixed_builds_fleet.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MixedBuildsFleet;

/// Of the answers that break while two engines of their build serve, at least this share of the
/// share of new answers that begin must go on.
constexpr double kGoesOn = 0.5;
constexpr std::uint64_t kSeeds = 3;

class ResumedAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResumedAnswersTest);
  CPPUNIT_TEST(twoBuilds);
  CPPUNIT_TEST(threeBuilds);
  CPPUNIT_TEST(largeZone);
  CPPUNIT_TEST(movedStreams);
  CPPUNIT_TEST(buildWithoutFurtherEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void twoBuilds() { requireOneBuild(withoutTakingUp()); }
  void threeBuilds() {
    auto settings = withoutTakingUp();
    settings.builds = {"v1", "v1.1", "v1.2"};
    requireOneBuild(settings);
  }
  void largeZone() {
    auto settings = withoutTakingUp();
    settings.nodes = 40;
    settings.engines = 36;
    requireOneBuild(settings);
  }

  /// Streams leave engines whose output becomes slow.
  void movedStreams() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      auto settings = withoutTakingUp();
      settings.moves_slow_streams = true;
      settings.between_answers = milliseconds(30);
      MixedBuildsFleet fleet(seed, settings);
      fleet.sendAnswers(seconds(10));
      emulation::EngineFaults slow;
      slow.decode_slowdown = 40;
      for (std::uint32_t engine = 0; engine < 4; ++engine) {
        fleet.fleet().engines().find(simulation::engineAddress(0, engine))->setFaults(slow);
      }
      fleet.sendAnswers(seconds(12));
      fleet.run(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.resumedByNodes() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
    }
  }

  /// The only engine of a build ends, so that its answers can't go on: their callers are told at
  /// once.
  void buildWithoutFurtherEngine() {
    constexpr common::Duration kToldWithin = milliseconds(300);
    auto settings = withoutTakingUp();
    settings.build_of = [](std::uint32_t engine) { return engine == 0 ? 1 : 0; };
    MixedBuildsFleet fleet(1, settings);
    fleet.sendAnswers(seconds(5));
    fleet.declareEngines(1, settings.engines);
    fleet.crashEngine(0);
    const auto crashed = fleet.fleet().time().now();
    fleet.sendAnswers(seconds(7));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
    std::size_t ended = 0;
    for (const auto& record : fleet.fleet().records()) {
      const bool broken = record.tokens > 0 && record.result != simulation::CallerResult::kDone;
      if (!broken || record.asked_at > crashed) {
        continue;
      }
      ++ended;
      CPPUNIT_ASSERT(record.result == simulation::CallerResult::kError);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(common::toSeconds(record.ended_at - crashed)) + " s after the crash",
          record.ended_at - crashed <= kToldWithin);
    }
    CPPUNIT_ASSERT(ended > 0);
  }

 private:
  /// Callers are left with the answers that the nodes don't resume.
  static MixedBuildsFleet::Settings withoutTakingUp() {
    MixedBuildsFleet::Settings settings;
    settings.callers_take_up = false;
    return settings;
  }
  /// Engines crash one after the other while they run streams.
  static void requireOneBuild(const MixedBuildsFleet::Settings& settings) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, settings);
      fleet.sendAnswers(seconds(2));
      for (std::uint32_t crash = 0; crash < 20; ++crash) {
        fleet.crashEngine(crash % settings.engines);
        fleet.sendAnswers(milliseconds(400));
      }
      fleet.run(seconds(5));
      const std::string figures = fleet.figures() + ", seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(figures, fleet.resumedByNodes() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, fleet.mixedAnswers());
      const double went_on = fleet.resumedByNodes();
      const double lost = static_cast<double>(fleet.brokenOff());
      CPPUNIT_ASSERT_MESSAGE(figures,
                             went_on >= kGoesOn * fleet.newAnswersBegun() * (went_on + lost));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedAnswersTest);

}  // namespace
}  // namespace cypresswall::answer_builds
