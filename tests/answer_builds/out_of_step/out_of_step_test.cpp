/// Guards against an incident in which a node was cut off, or stood still, while engines of a new
/// build joined: callers took up answers there that these had begun, and the node had them go on at
/// the only build that it knew.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "tests/answer_builds/mixed_builds_fleet.h"

namespace cypresswall::answer_builds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MixedBuildsFleet;

constexpr std::uint64_t kSeeds = 3;
/// The node that is out of step.
constexpr std::size_t kNode = 0;
/// Shorter than peers wait before they suspect a node, and longer than they take to drop it.
constexpr common::Duration kDurations[] = {milliseconds(1000), milliseconds(4000)};
/// Time between the start of the disturbance and the release.
constexpr auto kBeforeRelease = milliseconds(300);
constexpr double kGoesOn = 0.5;
/// Longer than the membership remembers nodes that fell silent.
constexpr common::Duration kForgotten = std::chrono::minutes(31);
/// The platform's `contact_ms`: nodes that were undisturbed for so long are in touch.
constexpr auto kContact = seconds(3);

using Disturbance = std::function<void(MixedBuildsFleet& fleet, common::Duration duration)>;

void cutFromPeers(MixedBuildsFleet& fleet, common::Duration /*duration*/) {
  fleet.fleet().isolateNode(kNode);
}
void cutFromStore(MixedBuildsFleet& fleet, common::Duration /*duration*/) {
  fleet.fleet().cutNodeFromPlatform(kNode);
}
void cutFromAll(MixedBuildsFleet& fleet, common::Duration duration) {
  cutFromPeers(fleet, duration);
  cutFromStore(fleet, duration);
}
void pause(MixedBuildsFleet& fleet, common::Duration duration) {
  fleet.fleet().pauseNode(kNode, duration);
}

void cutFromEachOther(MixedBuildsFleet& fleet, std::size_t node, std::size_t other) {
  const auto& first = fleet.fleet().slot(node).process->id().address;
  const auto& second = fleet.fleet().slot(other).process->id().address;
  fleet.fleet().simulation().network().cutAddresses(first, second);
  fleet.fleet().simulation().network().cutAddresses(second, first);
}

class OutOfStepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutOfStepTest);
  CPPUNIT_TEST(nodeCutOffFromAll);
  CPPUNIT_TEST(nodeCutOffFromPeers);
  CPPUNIT_TEST(nodeCutOffFromTheStore);
  CPPUNIT_TEST(pausedNode);
  CPPUNIT_TEST(storeLostAfterTheRelease);
  CPPUNIT_TEST(severalNodesCutOff);
  CPPUNIT_TEST(nodesCutOffForLong);
  CPPUNIT_TEST(buildThatCameAndLeft);
  CPPUNIT_TEST(answersBegunOutOfStep);
  CPPUNIT_TEST(recordsThatReachedNobody);
  CPPUNIT_TEST(oneBuild);
  CPPUNIT_TEST(oneBuildAndNodesThatStayDown);
  CPPUNIT_TEST(oneBuildAndANodeAlone);
  CPPUNIT_TEST(oneBuildWithoutTheStore);
  CPPUNIT_TEST(oneBuildAndASlowStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nodeCutOffFromAll() { requireNoneMixed(cutFromAll); }
  void nodeCutOffFromPeers() { requireNoneMixed(cutFromPeers); }
  void nodeCutOffFromTheStore() { requireNoneMixed(cutFromStore); }
  void pausedNode() { requireNoneMixed(pause); }

  /// Guards against a node that knows both builds and has its peers, and still refuses what it
  /// could ask them for, since the store is out of its reach.
  void storeLostAfterTheRelease() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, releaseSettings());
      begin(fleet);
      fleet.declareEngines(9, 36);
      fleet.sendAnswers(seconds(1));
      cutFromStore(fleet, {});
      requireGoesOnInTouch(fleet, seed);
    }
  }

  /// A third of the nodes; the answers are taken up at any node.
  void severalNodesCutOff() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, releaseSettings());
      fleet.sendAnswers(seconds(2));
      for (const std::size_t node : {0, 4, 8}) {
        fleet.fleet().isolateNode(node);
        fleet.fleet().cutNodeFromPlatform(node);
      }
      fleet.run(kBeforeRelease);
      fleet.declareEngines(9, 36);
      fleet.sendAnswers(seconds(1));
      fleet.restartNodes({1, 2});
      fleet.sendAnswers(seconds(2));
      fleet.fleet().simulation().network().healAll();
      fleet.restartNodes({5, 6});
      fleet.sendAnswers(seconds(3));
      requireNoneMixed(fleet, seed);
      requireGoesOnInTouch(fleet, seed);
    }
  }

  /// One node, and a third of them: the others are forgotten by the membership meanwhile.
  void nodesCutOffForLong() {
    for (const std::vector<std::size_t>& cut_off : {std::vector<std::size_t>{0}, {0, 1, 2}}) {
      MixedBuildsFleet fleet(1, releaseSettings());
      fleet.counted_builds = {"v2"};
      fleet.nodes_asked = {3, 4, 5, 6, 7, 8};
      fleet.nodes_asked_again = cut_off;
      for (const std::size_t node : cut_off) {
        fleet.fleet().cutNodeFromPlatform(node);
        for (std::size_t other = 3; other < 9; ++other) {
          cutFromEachOther(fleet, node, other);
        }
      }
      fleet.run(kForgotten);
      fleet.declareEngines(9, 36);
      fleet.sendAnswers(seconds(1));
      fleet.restartNodes({3, 4});
      fleet.sendAnswers(seconds(3));
      requireNoneMixed(fleet, 1);
    }
  }

  /// The new build is withdrawn before the node is in step again: nothing that it then reads lists
  /// it.
  void buildThatCameAndLeft() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, releaseSettings());
      begin(fleet);
      cutFromAll(fleet, {});
      fleet.run(kBeforeRelease);
      fleet.declareEngines(9, 36);
      fleet.sendAnswers(seconds(3));
      fleet.declareEngines(0, 18);
      fleet.fleet().simulation().network().healAll();
      fleet.run(milliseconds(20));
      fleet.restartNodes({1, 2, 3, 4, 5, 6});
      fleet.sendAnswers(seconds(3));
      requireNoneMixed(fleet, seed);
    }
  }

  /// The node goes on to begin answers at the first build, which is replaced meanwhile; others take
  /// them up.
  void answersBegunOutOfStep() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, releaseSettings());
      fleet.counted_builds = {"v1"};
      fleet.sendAnswers(seconds(2));
      cutFromAll(fleet, {});
      fleet.run(kBeforeRelease);
      fleet.declareEngines(18, 36);
      fleet.nodes_asked = {kNode};
      fleet.nodes_asked_again = {1, 2, 3, 4, 5, 6, 7, 8};
      fleet.sendAnswers(seconds(3));
      fleet.restartNodes({kNode});
      fleet.run(seconds(1));
      fleet.fleet().simulation().network().healAll();
      fleet.run(seconds(3));
      requireNoneMixed(fleet, seed);
    }
  }

  /// Nodes that know both builds are cut off from the others, so that nobody is told of the answers
  /// that they begin.
  void recordsThatReachedNobody() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, releaseSettings());
      fleet.sendAnswers(seconds(2));
      fleet.declareEngines(9, 36);
      fleet.run(milliseconds(200));
      fleet.nodes_asked = {1, 2};
      fleet.fleet().isolateNode(1);
      fleet.fleet().isolateNode(2);
      fleet.sendAnswers(seconds(2));
      fleet.restartNodes({1, 2});
      fleet.fleet().simulation().network().healAll();
      fleet.run(seconds(3));
      requireNoneMixed(fleet, seed);
    }
  }

  /// Nothing is refused while nodes end and start again, and the others are in step.
  void oneBuild() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, oneBuildSettings());
      fleet.sendAnswers(seconds(2));
      for (const std::size_t node : {1, 2, 3}) {
        fleet.restartNodes({node});
        fleet.sendAnswers(seconds(2));
      }
      requireNoneRefused(fleet, seed);
    }
  }

  void oneBuildAndNodesThatStayDown() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, oneBuildSettings());
      fleet.sendAnswers(seconds(2));
      fleet.fleet().killNode(3);
      fleet.sendAnswers(seconds(4));
      fleet.restartNodes({1, 2});
      fleet.sendAnswers(seconds(4));
      requireNoneRefused(fleet, seed);
    }
  }

  /// All other nodes have ended, and the store confirms that there is one build.
  void oneBuildAndANodeAlone() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, oneBuildSettings());
      fleet.nodes_asked_again = {kNode};
      fleet.sendAnswers(seconds(2));
      for (std::size_t node = 1; node < 9; ++node) {
        fleet.fleet().killNode(node);
      }
      fleet.sendAnswers(seconds(4));
      requireNoneRefused(fleet, seed);
    }
  }

  /// Guards against refusals whenever a node ends while the store is away for some seconds.
  void oneBuildWithoutTheStore() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, oneBuildSettings());
      fleet.sendAnswers(seconds(2));
      fleet.fleet().platform().setDown(true);
      fleet.run(milliseconds(500));
      fleet.fleet().killNode(3);
      fleet.sendAnswers(seconds(4));
      fleet.fleet().killNode(1);
      fleet.sendAnswers(seconds(4));
      requireNoneRefused(fleet, seed);
    }
  }

  void oneBuildAndASlowStore() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MixedBuildsFleet fleet(seed, oneBuildSettings());
      fleet.sendAnswers(seconds(2));
      fleet.fleet().platform().setSlow(seconds(2));
      fleet.fleet().killNode(3);
      fleet.sendAnswers(seconds(4));
      fleet.fleet().killNode(1);
      fleet.sendAnswers(seconds(4));
      requireNoneRefused(fleet, seed);
    }
  }

 private:
  /// Engines 0 to 17 are of the first build, the others of the one that joins.
  static MixedBuildsFleet::Settings releaseSettings() {
    MixedBuildsFleet::Settings settings;
    settings.engines = 36;
    settings.engines_at_start = 18;
    settings.engines_from_store = true;
    settings.build_of = [](std::uint32_t engine) { return engine < 18 ? 0 : 1; };
    return settings;
  }
  static MixedBuildsFleet::Settings oneBuildSettings() {
    MixedBuildsFleet::Settings settings;
    settings.builds = {"v1"};
    settings.engines_from_store = true;
    return settings;
  }
  /// Answers begin at the other nodes, and are taken up at the one that will be out of step. Those
  /// of the build that joins count.
  static void begin(MixedBuildsFleet& fleet) {
    fleet.counted_builds = {"v2"};
    fleet.nodes_asked = {1, 2, 3, 4, 5, 6, 7, 8};
    fleet.nodes_asked_again = {kNode};
    fleet.sendAnswers(seconds(2));
  }
  /// The disturbance begins before the release and ends after it. Nodes end during it, and at its
  /// end.
  static void requireNoneMixed(const Disturbance& disturb) {
    for (const common::Duration duration : kDurations) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        MixedBuildsFleet fleet(seed, releaseSettings());
        begin(fleet);
        disturb(fleet, duration);
        fleet.run(kBeforeRelease);
        fleet.declareEngines(9, 36);
        const common::Duration half = (duration - kBeforeRelease) / 2;
        fleet.sendAnswers(half);
        fleet.restartNodes({1, 2, 3});
        fleet.sendAnswers(half);
        fleet.fleet().simulation().network().healAll();
        fleet.restartNodes({4, 5, 6});
        fleet.sendAnswers(seconds(3));
        requireNoneMixed(fleet, seed);
        requireGoesOnInTouch(fleet, seed);
      }
    }
  }
  static void requireNoneMixed(MixedBuildsFleet& fleet, std::uint64_t seed) {
    fleet.run(seconds(2));
    const std::string figures = fleet.figures() + ", seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.takenUp() > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, fleet.mixedAnswers());
  }
  /// Answers break again after a time without a disturbance of nodes and their links: a node that
  /// was out of step before may not refuse for good what is taken up.
  static void requireGoesOnInTouch(MixedBuildsFleet& fleet, std::uint64_t seed) {
    fleet.run(kContact);
    const std::size_t taken_up_before = fleet.takenUp();
    const std::size_t went_on_before = fleet.wentOn();
    fleet.sendAnswers(seconds(2));
    for (const std::size_t node : {5, 6, 7, 8}) {
      fleet.restartNodes({node});
      fleet.sendAnswers(seconds(1));
    }
    fleet.run(seconds(2));
    const std::size_t taken_up = fleet.takenUp() - taken_up_before;
    const std::size_t went_on = fleet.wentOn() - went_on_before;
    const std::string figures = fleet.figures() + "; in touch " + std::to_string(went_on) + " of " +
                                std::to_string(taken_up) + ", seed " + std::to_string(seed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, fleet.mixedAnswers());
    CPPUNIT_ASSERT_MESSAGE(figures, taken_up > 0);
    CPPUNIT_ASSERT_MESSAGE(figures,
                           static_cast<double>(went_on) >= kGoesOn * static_cast<double>(taken_up));
  }
  static void requireNoneRefused(MixedBuildsFleet& fleet, std::uint64_t seed) {
    fleet.run(seconds(3));
    const std::string figures = fleet.figures() + ", " + std::to_string(fleet.originsUnknown()) +
                                " refused, seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(figures, fleet.takenUp() > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0.0, fleet.originsUnknown());
    const auto taken_up = static_cast<double>(fleet.takenUp());
    const auto went_on = static_cast<double>(fleet.wentOn());
    CPPUNIT_ASSERT_MESSAGE(figures, went_on >= kGoesOn * fleet.newAnswersBegun() * taken_up);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutOfStepTest);

}  // namespace
}  // namespace cypresswall::answer_builds
