#include "cypresswall/quarantine/fleet_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cypresswall/quarantine/stored_quarantine.h"
#include "tests/quarantine/quarantine_zone.h"

namespace cypresswall::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::QuarantineZone;

constexpr common::RequestFingerprint kCulprit = 0xC0FFEE;
constexpr common::RequestFingerprint kNeighbour = 0xBEEF;
/// Within which all nodes have to know; a third of what the users allow in a small zone.
constexpr common::Duration kTold = seconds(1);

class FleetQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetQuarantineTest);
  CPPUNIT_TEST(threeCrashesKeepARequestFromAllNodes);
  CPPUNIT_TEST(twoCrashesDoNot);
  CPPUNIT_TEST(oneCrashSeenByManyIsOne);
  CPPUNIT_TEST(aLifeThatEndsAgainCountsAgain);
  CPPUNIT_TEST(brokenStreamsOfAnEngineThatRunsAreNoCrashes);
  CPPUNIT_TEST(oneQuestionServesManyBrokenStreams);
  CPPUNIT_TEST(aConnectionThatEndsIsNoCrash);
  CPPUNIT_TEST(nodesThatLeaveAreTold);
  CPPUNIT_TEST(anAnswerClearsARequest);
  CPPUNIT_TEST(aRequestThatIsAnsweredElsewhereIsNotKeptAway);
  CPPUNIT_TEST(aLateAnswerFreesTheRequestEverywhere);
  CPPUNIT_TEST(nodesThatStartLearnIt);
  CPPUNIT_TEST(outlivesAllNodes);
  CPPUNIT_TEST(reachesANodeThatIsCutOffThroughTheStore);
  CPPUNIT_TEST(outlivesAllNodesThoughTheStoreWasDown);
  CPPUNIT_TEST(oneCountingNodeMayEnd);
  CPPUNIT_TEST(aNodeThatBeginsToCountIsToldOfEarlierCrashes);
  CPPUNIT_TEST(worksBesideNodesOfAnEarlierBuild);
  CPPUNIT_TEST(isForgottenOnceItNoLongerComes);
  CPPUNIT_TEST(lastsWhileItComes);
  CPPUNIT_TEST(isBoundedInNumber);
  CPPUNIT_TEST(messagesOfANodeDoNotGrowWithTheZone);
  CPPUNIT_TEST(offKeepsNothingAway);
  CPPUNIT_TEST(requestsWithoutFingerprintAreLeftAlone);
  CPPUNIT_TEST(unreadableStoredListIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void threeCrashesKeepARequestFromAllNodes() {
    for (const std::size_t nodes : {1, 2, 9, 24, 60, 295}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kTold);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(nodes) + " nodes", nodes,
                                   zone.nodesThatKeepAway(kCulprit));
      CPPUNIT_ASSERT(zone.at(0).quarantinedFor(kCulprit).has_value());
      CPPUNIT_ASSERT(!zone.at(0).quarantinedFor(kNeighbour).has_value());
    }
  }

  void twoCrashesDoNot() {
    QuarantineZone zone(9);
    zone.crash(1, kCulprit, 1);
    zone.crash(2, kCulprit, 2);
    zone.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  void oneCrashSeenByManyIsOne() {
    QuarantineZone zone(9);
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.crash(node, kCulprit, 1);
      zone.run(milliseconds(20));
    }
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  /// Where the lives of an engine bear one name.
  void aLifeThatEndsAgainCountsAgain() {
    QuarantineZone zone(9);
    for (std::size_t life = 0; life < 3; ++life) {
      zone.crash(life, kCulprit, 1);
      zone.run(seconds(2));
    }
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
  }

  void brokenStreamsOfAnEngineThatRunsAreNoCrashes() {
    QuarantineZone zone(9);
    for (int engine = 0; engine < 6; ++engine) {
      zone.runEngine(engine);
      zone.breakStream(static_cast<std::size_t>(engine), kCulprit, engine);
    }
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  void oneQuestionServesManyBrokenStreams() {
    QuarantineZone zone(1);
    for (common::RequestFingerprint request = 1; request <= 32; ++request) {
      zone.crash(0, request, 1);
    }
    zone.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, zone.engineQuestions());
  }

  /// The first question is lost with the kept connection that it went out on.
  void aConnectionThatEndsIsNoCrash() {
    QuarantineZone zone(9);
    for (int engine = 0; engine < 6; ++engine) {
      zone.loseQuestions(engine, 1);
      zone.breakStream(static_cast<std::size_t>(engine), kCulprit, engine);
    }
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  /// They take requests until their callers have gone elsewhere.
  void nodesThatLeaveAreTold() {
    QuarantineZone zone(9);
    zone.leave(4);
    crashThree(zone);
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
  }

  /// Two engines ended beside it; the third attempt was answered.
  void anAnswerClearsARequest() {
    QuarantineZone zone(9);
    zone.crash(0, kNeighbour, 1);
    zone.crash(0, kNeighbour, 2);
    zone.run(milliseconds(200));
    zone.at(0).answered(kNeighbour);
    zone.run(milliseconds(200));
    zone.crash(0, kNeighbour, 3);
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kNeighbour));
  }

  /// Three engines of one rack end at once, and many callers send the same question.
  void aRequestThatIsAnsweredElsewhereIsNotKeptAway() {
    for (const std::size_t nodes : {9, 60}) {
      QuarantineZone zone(nodes);
      zone.at(nodes - 1).answered(kNeighbour);
      zone.run(seconds(20));
      for (int engine = 1; engine <= 3; ++engine) {
        zone.crash(static_cast<std::size_t>(engine), kNeighbour, engine);
      }
      zone.run(kTold);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kNeighbour));
      // Once known to be innocent, it isn't suspected again soon.
      for (int engine = 4; engine <= 6; ++engine) {
        zone.crash(static_cast<std::size_t>(engine), kNeighbour, engine);
      }
      zone.run(kTold);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kNeighbour));
    }
  }

  void aLateAnswerFreesTheRequestEverywhere() {
    QuarantineZone zone(60);
    crashThree(zone);
    zone.run(kTold);
    zone.at(40).answered(kCulprit);
    zone.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  void nodesThatStartLearnIt() {
    for (const std::size_t nodes : {9, 60}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kTold);
      zone.add();
      zone.restart(3);
      zone.tellMembers();
      zone.run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
    }
  }

  void outlivesAllNodes() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(kTold);
    restartAll(zone);
    zone.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
  }

  void reachesANodeThatIsCutOffThroughTheStore() {
    for (std::size_t cut = 0; cut < 9; ++cut) {
      QuarantineZone zone(9);
      zone.run(seconds(1));
      zone.cutOff(cut);
      zone.run(seconds(3));
      for (int engine = 1; engine <= 3; ++engine) {
        zone.crash((cut + static_cast<std::size_t>(engine)) % zone.size(), kCulprit, engine);
        zone.run(milliseconds(100));
      }
      zone.run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE("node " + std::to_string(cut), zone.quarantinedFor(cut, kCulprit));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
    }
  }

  void outlivesAllNodesThoughTheStoreWasDown() {
    QuarantineZone zone(9);
    zone.platform().setDown(true);
    crashThree(zone);
    zone.run(seconds(5));
    zone.platform().setDown(false);
    zone.run(seconds(3));
    zone.platform().setDown(true);
    restartAll(zone);
    zone.run(seconds(2));
    zone.platform().setDown(false);
    zone.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
  }

  void oneCountingNodeMayEnd() {
    for (std::size_t lost = 0; lost < 9; ++lost) {
      QuarantineZone zone(9);
      const std::size_t reporter = (lost + 1) % zone.size();
      zone.crash(reporter, kCulprit, 1);
      zone.crash(reporter, kCulprit, 2);
      zone.run(milliseconds(200));
      zone.end(lost);
      zone.tellMembers();
      zone.crash((lost + 2) % zone.size(), kCulprit, 3);
      zone.run(kTold);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("without node " + std::to_string(lost), zone.size() - 1,
                                   zone.nodesThatKeepAway(kCulprit));
    }
  }

  /// Both nodes that counted have ended.
  void aNodeThatBeginsToCountIsToldOfEarlierCrashes() {
    QuarantineZone zone(9);
    const auto counting = zone.countingNodes(kCulprit, 2);
    std::size_t reporter = 0;
    while (std::count(counting.begin(), counting.end(), reporter) != 0) {
      ++reporter;
    }
    zone.crash(reporter, kCulprit, 1);
    zone.crash(reporter, kCulprit, 2);
    zone.run(milliseconds(200));
    for (const std::size_t node : counting) {
      zone.end(node);
    }
    zone.tellMembers();
    zone.crash(reporter, kCulprit, 3);
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(zone.size() - 2, zone.nodesThatKeepAway(kCulprit));
  }

  /// While nodes are replaced one after the other, those that count must be among the new ones.
  void worksBesideNodesOfAnEarlierBuild() {
    constexpr std::size_t kNodes = 9;
    for (std::size_t earlier = 1; earlier < kNodes - 1; ++earlier) {
      for (common::RequestFingerprint request = kCulprit; request < kCulprit + 5; ++request) {
        QuarantineZone zone(kNodes);
        zone.runEarlierBuild(0, earlier - 1);
        for (int engine = 1; engine <= 3; ++engine) {
          zone.crash(earlier + static_cast<std::size_t>(engine) % (kNodes - earlier), request,
                     engine);
          zone.run(milliseconds(100));
        }
        zone.run(kTold);
        CPPUNIT_ASSERT_EQUAL(kNodes - earlier, zone.nodesThatKeepAway(request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.messagesNotHandled());
      }
    }
  }

  void isForgottenOnceItNoLongerComes() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(zone.settings.memory + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
    // Nor is it read again from the store.
    restartAll(zone);
    zone.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  void lastsWhileItComes() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(kTold);
    for (int i = 0; i < 4; ++i) {
      zone.run(zone.settings.memory / 2);
      CPPUNIT_ASSERT(zone.at(5).quarantinedFor(kCulprit).has_value());
    }
  }

  void isBoundedInNumber() {
    QuarantineZone zone(1);
    zone.settings.suspects = 100;
    zone.settings.kept_away = 10;
    zone.restart(0);
    for (common::RequestFingerprint request = 1; request <= 300; ++request) {
      crashThree(zone, request);
    }
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.at(0).all().size());
  }

  void messagesOfANodeDoNotGrowWithTheZone() {
    constexpr double kMostMessages = 12;
    for (const std::size_t nodes : {30, 100, 300, 1000}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kTold);
      const double each = static_cast<double>(zone.messages()) / static_cast<double>(zone.size());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes: " + std::to_string(each),
                             each < kMostMessages);
    }
  }

  void offKeepsNothingAway() {
    QuarantineZone zone(2);
    zone.settings.quarantines = false;
    restartAll(zone);
    crashThree(zone);
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(kCulprit));
  }

  void requestsWithoutFingerprintAreLeftAlone() {
    QuarantineZone zone(2);
    crashThree(zone, 0);
    zone.run(kTold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatKeepAway(0));
  }

  void unreadableStoredListIsReplaced() {
    QuarantineZone zone(3);
    zone.platform().store().compareAndSet({"quarantine/z", 0, "\xff{", "another"},
                                          [](const auto&) {});
    restartAll(zone);
    crashThree(zone);
    zone.run(seconds(2));
    restartAll(zone);
    zone.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatKeepAway(kCulprit));
  }

 private:
  static void crashThree(QuarantineZone& zone, common::RequestFingerprint request = kCulprit) {
    for (int engine = 1; engine <= 3; ++engine) {
      zone.crash(static_cast<std::size_t>(engine) % zone.size(), request, engine);
      zone.run(milliseconds(100));
    }
  }
  static void restartAll(QuarantineZone& zone) {
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.restart(node);
    }
    zone.tellMembers();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetQuarantineTest);

}  // namespace
}  // namespace cypresswall::quarantine
