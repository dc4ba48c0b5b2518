/// Guards against an incident in which callers took up answers at nodes that did not know which
/// software build had begun them: of the answers that went on after a node had ended, many did so
/// at another build.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

#include "tests/answer_builds/mixed_builds_fleet.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MixedBuildsFleet;

/// Of the answers that callers take up while two engines of their build serve, at least this share
/// of the share of new answers that begin must go on.
constexpr double kGoesOn = 0.5;
/// Number of answers taken up from which the share counts.
constexpr std::size_t kEnough = 12;
constexpr std::uint64_t kSeeds = 3;
/// A node that starts serves within this time.
constexpr auto kUntilReady = milliseconds(1500);

/// Within this time a build that has left is forgotten.
constexpr auto kUntilForgotten = seconds(125);

class TakenUpAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakenUpAnswersTest);
  CPPUNIT_TEST(twoBuilds);
  CPPUNIT_TEST(threeBuilds);
  CPPUNIT_TEST(twoEnginesOfABuildLeft);
  CPPUNIT_TEST(largeZone);
  CPPUNIT_TEST(nodesRestartInSeries);
  CPPUNIT_TEST(allNodesRestart);
  CPPUNIT_TEST(releaseWithNodesThatEnd);
  CPPUNIT_TEST(answersTakenUpBeforeASecondBuildCameAreTakenUpAgain);
  CPPUNIT_TEST(firstBuildGone);
  CPPUNIT_TEST(allNodesEndWhenTheFirstBuildHasGone);
  CPPUNIT_TEST(allNodesEndTwice);
  CPPUNIT_TEST(allNodesComeBackOneByOne);
  CPPUNIT_TEST(allNodesEndAndSomeReachNoEngine);
  CPPUNIT_TEST(allNodesEndWhileTheStoreIsRestored);
  CPPUNIT_TEST(allNodesEndAfterTheStoreWasRestored);
  CPPUNIT_TEST(nodeCutOffFromItsPeers);
  CPPUNIT_TEST(nodeCutOffFromEngines);
  CPPUNIT_TEST(oneBuild);
  CPPUNIT_TEST_SUITE_END();

 public:
  void twoBuilds() { requireOneBuild({}); }
  void threeBuilds() {
    MixedBuildsFleet::Settings settings;
    settings.builds = {"v1", "v1.1", "v1.2"};
    requireOneBuild(settings);
  }
  void twoEnginesOfABuildLeft() {
    MixedBuildsFleet::Settings settings;
    settings.build_of = [](std::uint32_t engine) { return engine < 2 ? 0 : 1; };
    requireOneBuild(settings);
  }
  void largeZone() {
    MixedBuildsFleet::Settings settings;
    settings.nodes = 40;
    settings.engines = 36;
    requireOneBuild(settings);
  }

  /// A node that has just started again ends a second time.
  void nodesRestartInSeries() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, {});
      fleet.sendAnswers(seconds(3));
      for (std::size_t turn = 0; turn < 12; ++turn) {
        fleet.restartNodes({turn % 9, (turn + 1) % 9});
        fleet.sendAnswers(seconds(1));
      }
      requireShare(fleet, seed);
    }
  }

  /// Nobody knows what began the answers, and both builds may have: none goes on.
  void allNodesRestart() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.take_up_delay = kUntilReady;
      MixedBuildsFleet fleet(seed, settings);
      fleet.sendAnswers(seconds(3));
      fleet.counts_started_nodes = true;
      fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
      fleet.sendAnswers(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
    }
  }

  /// Nodes end just after the engines of a second build have come. The answers in progress were
  /// begun by the first build, as those before.
  void releaseWithNodesThatEnd() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.engines = 26;
      settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
      MixedBuildsFleet fleet(seed, settings);
      fleet.declareEngines(0, 18);
      fleet.sendAnswers(seconds(5));
      fleet.declareEngines(0, 20);
      fleet.sendAnswers(milliseconds(100));
      fleet.declareEngines(6, 26);
      fleet.sendAnswers(milliseconds(200));
      fleet.restartNodes({0, 3, 6});
      fleet.sendAnswers(seconds(3));
      fleet.restartNodes({1, 4, 7});
      fleet.sendAnswers(seconds(3));
      requireShare(fleet, seed);
    }
  }

  /// Guards against answers that are refused when they are taken up a second time: the nodes that
  /// began them ended before a second build came, and those that continued them end after it.
  void answersTakenUpBeforeASecondBuildCameAreTakenUpAgain() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.engines = 36;
      settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
      settings.maximum_attempts = 3;
      settings.engines_from_store = true;
      settings.engines_at_start = 18;
      MixedBuildsFleet fleet(seed, settings);
      fleet.nodes_asked = {0, 1};
      fleet.nodes_asked_again = {2, 3};
      fleet.sendAnswers(seconds(3));
      fleet.fleet().killNode(0);
      fleet.fleet().killNode(1);
      fleet.run(milliseconds(100));
      // The nodes that have ended are not known to have yet, so that confirming the build takes
      // longer.
      fleet.run(milliseconds(250));
      fleet.declareEngines(0, 36);
      fleet.run(milliseconds(150));
      fleet.nodes_asked_again = {4, 5, 6, 7, 8};
      fleet.fleet().killNode(2);
      fleet.fleet().killNode(3);
      fleet.run(milliseconds(100));
      fleet.run(seconds(5));
      const std::string figures = fleet.figures() + ", " + std::to_string(fleet.wentOnAgain()) +
                                  " of " + std::to_string(fleet.takenUpAgain()) +
                                  " taken up again went on, seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, fleet.mixedAnswers());
      CPPUNIT_ASSERT_MESSAGE(figures, fleet.takenUpAgain() >= kEnough);
      CPPUNIT_ASSERT_MESSAGE(figures, static_cast<double>(fleet.wentOnAgain()) >=
                                          kGoesOn * static_cast<double>(fleet.takenUpAgain()));
    }
  }

  /// All engines of the first build are replaced at once, and a node ends: what it had begun at the
  /// first build goes on nowhere, neither at nodes that saw the first build nor at one that did
  /// not.
  void firstBuildGone() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.engines = 36;
      settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
      settings.take_up_delay = kUntilReady;
      MixedBuildsFleet fleet(seed, settings);
      replaceFirstBuild(fleet);
      fleet.restartNodes({0, 3, 6});
      fleet.sendAnswers(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
    }
  }

  /// Guards against answers that go on at the second build: no node remembers the first one.
  void allNodesEndWhenTheFirstBuildHasGone() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const auto delay : {milliseconds(100), milliseconds(700), kUntilReady}) {
        MixedBuildsFleet::Settings settings;
        settings.engines = 36;
        settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
        settings.take_up_delay = delay;
        MixedBuildsFleet fleet(seed, settings);
        replaceFirstBuild(fleet);
        fleet.counts_started_nodes = true;
        fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
        fleet.sendAnswers(seconds(5));
        CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
        CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.newAnswersBegun() > 0.5);
      }
    }
  }

  /// Guards against answers that go on at the second build: the nodes end again before they have
  /// stored what they learnt of the first one, or just after.
  void allNodesEndTwice() {
    for (const auto between : {milliseconds(200), milliseconds(500), milliseconds(1200)}) {
      requireNoneMixedAfter(milliseconds(700), [between](MixedBuildsFleet& fleet) {
        fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
        fleet.run(between);
        fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
      });
    }
  }

  /// Guards against answers that go on at the second build at the first nodes that are back.
  void allNodesComeBackOneByOne() {
    requireNoneMixedAfter(
        seconds(4), [](MixedBuildsFleet& fleet) { fleet.restartOneByOne(milliseconds(700)); });
  }

  /// Guards against answers that go on at the second build: nodes that reach no engine have them
  /// executed by others.
  void allNodesEndAndSomeReachNoEngine() {
    requireNoneMixedAfter(milliseconds(700), [](MixedBuildsFleet& fleet) {
      fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
      for (const std::size_t node : {6, 7, 8}) {
        fleet.fleet().cutNodeFromServers(node);
      }
    });
  }

  /// Guards against answers that go on at the first build: the copy from which the store is
  /// restored names neither the second build nor its engines.
  void allNodesEndWhileTheStoreIsRestored() { requireNoneMixedAfterRestore(seconds(0)); }

  /// Guards against answers that go on at the first build: what the restored store lacked was not
  /// written again before the second build was withdrawn.
  void allNodesEndAfterTheStoreWasRestored() { requireNoneMixedAfterRestore(seconds(3)); }

  /// A node that reaches no other one can't ask which build began an answer.
  void nodeCutOffFromItsPeers() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, {});
      fleet.sendAnswers(seconds(3));
      for (const std::size_t node : {4, 5, 6, 7, 8}) {
        fleet.fleet().isolateNode(node);
      }
      fleet.restartNodes({0, 1, 2});
      fleet.sendAnswers(seconds(6));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
    }
  }

  /// Nodes that reach no engine have answers taken up by others.
  void nodeCutOffFromEngines() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, {});
      fleet.sendAnswers(seconds(3));
      for (const std::size_t node : {6, 7, 8}) {
        fleet.fleet().cutNodeFromServers(node);
      }
      fleet.sendAnswers(seconds(4));
      fleet.restartNodes({0, 1});
      fleet.sendAnswers(seconds(2));
      fleet.restartNodes({2, 3});
      fleet.sendAnswers(seconds(4));
      requireShare(fleet, seed);
    }
  }

  /// With engines of one build, everything goes on, whoever may know what.
  void oneBuild() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.builds = {"v1"};
      settings.take_up_delay = kUntilReady;
      MixedBuildsFleet fleet(seed, settings);
      fleet.counts_started_nodes = true;
      fleet.sendAnswers(seconds(3));
      fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
      fleet.run(seconds(2));
      fleet.sendAnswers(seconds(3));
      fleet.restartNodes({0, 3, 6});
      fleet.sendAnswers(seconds(4));
      requireShare(fleet, seed);
    }
  }

 private:
  /// Replaces the engines of the first build, 0 to 17, by those of the second one, 18 to 35, while
  /// answers are under way.
  static void replaceFirstBuild(MixedBuildsFleet& fleet) {
    fleet.declareEngines(0, 18);
    fleet.sendAnswers(seconds(5));
    fleet.declareEngines(0, 36);
    fleet.run(milliseconds(100));
    fleet.declareEngines(18, 36);
  }
  /// The first build has just been replaced by the second one when the nodes end.
  static void requireNoneMixedAfter(common::Duration take_up_delay,
                                    const std::function<void(MixedBuildsFleet& fleet)>& end_nodes) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.engines = 36;
      settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
      settings.take_up_delay = take_up_delay;
      MixedBuildsFleet fleet(seed, settings);
      replaceFirstBuild(fleet);
      fleet.counts_started_nodes = true;
      end_nodes(fleet);
      fleet.sendAnswers(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.newAnswersBegun() > 0.5);
    }
  }
  /// The store is restored from a copy of before the second build; after a while, the second build
  /// is withdrawn and all nodes end.
  static void requireNoneMixedAfterRestore(common::Duration while_restored) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet::Settings settings;
      settings.engines = 36;
      settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
      settings.take_up_delay = kUntilReady;
      MixedBuildsFleet fleet(seed, settings);
      fleet.declareEngines(0, 18);
      fleet.run(kUntilForgotten);
      fleet.sendAnswers(seconds(5));
      simulation::SimulatedPlatform& platform = fleet.fleet().platform();
      const std::uint64_t copied = platform.store().revision();
      fleet.declareEngines(0, 36);
      fleet.sendAnswers(seconds(3));
      platform.restore(platform.store().revision() - copied);
      fleet.sendAnswers(while_restored);
      fleet.declareEngines(0, 18);
      fleet.counts_started_nodes = true;
      fleet.counted_builds = {"v2"};
      fleet.restartNodes({0, 1, 2, 3, 4, 5, 6, 7, 8});
      fleet.sendAnswers(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.takenUp() > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.figures(), std::size_t{0}, fleet.mixedAnswers());
      CPPUNIT_ASSERT_MESSAGE(fleet.figures(), fleet.newAnswersBegun() > 0.5);
    }
  }
  /// A third of the nodes ends at once, three times.
  static void requireOneBuild(const MixedBuildsFleet::Settings& settings) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, settings);
      fleet.counted_builds = {settings.builds.front()};
      fleet.sendAnswers(seconds(3));
      for (std::size_t turn = 0; turn < 3; ++turn) {
        std::vector<std::size_t> ended;
        for (std::size_t node = turn; ended.size() < settings.nodes / 3; node += 3) {
          ended.push_back(node);
        }
        fleet.restartNodes(ended);
        fleet.sendAnswers(seconds(4));
      }
      requireShare(fleet, seed);
    }
  }
  static void requireShare(MixedBuildsFleet& fleet, std::uint64_t seed) {
    fleet.run(seconds(5));
    const std::string figures = fleet.figures() + ", seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.takenUp() > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, fleet.mixedAnswers());
    const auto taken_up = static_cast<double>(fleet.takenUp());
    const auto went_on = static_cast<double>(fleet.wentOn());
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.takenUp() < kEnough ||
                                        went_on >= kGoesOn * fleet.newAnswersBegun() * taken_up);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakenUpAnswersTest);

}  // namespace
}  // namespace cypresswall::answer_builds
