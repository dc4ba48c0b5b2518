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

constexpr common::RequestFingerprint kCrashingRequest = 0xC0FFEE;
constexpr common::RequestFingerprint kInnocentRequest = 0xBEEF;
constexpr common::RequestFingerprint kFirstRequest = 0x100;
constexpr common::RequestFingerprint kFirstPart = 0xA100;
constexpr common::RequestFingerprint kSecondPart = 0xA200;
constexpr common::RequestFingerprint kCrashingPart = 0xA300;
/// All nodes must know within this time, a third of the limit required for a small zone.
constexpr common::Duration kPropagationTime = seconds(1);

class FleetQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetQuarantineTest);
  CPPUNIT_TEST(threeCrashesQuarantineRequestOnAllNodes);
  CPPUNIT_TEST(twoCrashesDoNotQuarantine);
  CPPUNIT_TEST(crashSeenByManyNodesCountsOnce);
  CPPUNIT_TEST(repeatedCrashOfOneEngineCountsAgain);
  CPPUNIT_TEST(brokenStreamOfRunningEngineIsNoCrash);
  CPPUNIT_TEST(oneProbeServesManyBrokenStreams);
  CPPUNIT_TEST(closedConnectionIsNoCrash);
  CPPUNIT_TEST(leavingNodesAreNotified);
  CPPUNIT_TEST(answerClearsCrashHistory);
  CPPUNIT_TEST(requestAnsweredElsewhereIsNotQuarantined);
  CPPUNIT_TEST(lateAnswerReleasesRequestOnAllNodes);
  CPPUNIT_TEST(startingNodesLearnQuarantine);
  CPPUNIT_TEST(survivesRestartOfAllNodes);
  CPPUNIT_TEST(isolatedNodeLearnsQuarantineFromStore);
  CPPUNIT_TEST(survivesRestartOfAllNodesAfterStoreOutage);
  CPPUNIT_TEST(toleratesLossOfOneCountingNode);
  CPPUNIT_TEST(newCountingNodesReceiveEarlierCrashes);
  CPPUNIT_TEST(worksWithNodesOfEarlierBuild);
  CPPUNIT_TEST(crashesCountOverRestartsOfAllNodes);
  CPPUNIT_TEST(crashesOfPartsCountOverRestartsOfAllNodes);
  CPPUNIT_TEST(crashesBeforeAnAnswerDoNotCountAfterRestart);
  CPPUNIT_TEST(oldCrashesDoNotCountAfterRestart);
  CPPUNIT_TEST(crashesCountOverRestartsBesideNodesOfEarlierBuild);
  CPPUNIT_TEST(manyCrashesTakeFewStoreCalls);
  CPPUNIT_TEST(storedCrashesRoundTrip);
  CPPUNIT_TEST(expiresWithoutFurtherRequests);
  CPPUNIT_TEST(lastsWhileRequestsArrive);
  CPPUNIT_TEST(listSizeIsBounded);
  CPPUNIT_TEST(messagesPerNodeAreIndependentOfZoneSize);
  CPPUNIT_TEST(nothingIsQuarantinedWhenDisabled);
  CPPUNIT_TEST(requestsWithoutFingerprintAreIgnored);
  CPPUNIT_TEST(unreadableStoredListIsReplaced);
  CPPUNIT_TEST(partOfDifferentRequestsIsQuarantinedOnAllNodes);
  CPPUNIT_TEST(narrowestPartIsBlamed);
  CPPUNIT_TEST(firstPartOfDifferentPromptsIsBlamed);
  CPPUNIT_TEST(firstPartBeforeACrashingOneIsNotBlamed);
  CPPUNIT_TEST(partBehindACrashingOneIsNotBlamed);
  CPPUNIT_TEST(partBeforeAnAnsweredPartIsBlamed);
  CPPUNIT_TEST(partAnsweredSinceFirstCrashIsNotBlamed);
  CPPUNIT_TEST(partAnsweredBeforeFirstCrashIsBlamed);
  CPPUNIT_TEST(streamsWithOutputDoNotBlameParts);
  CPPUNIT_TEST(streamsWithOutputCountHalf);
  CPPUNIT_TEST(crashesAfterAFirstTokenCountInFull);
  CPPUNIT_TEST(partIsReleasedAfterFixedTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void threeCrashesQuarantineRequestOnAllNodes() {
    for (const std::size_t nodes : {1, 2, 9, 24, 60, 295}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(nodes) + " nodes", nodes,
                                   zone.nodesThatQuarantine(kCrashingRequest));
      CPPUNIT_ASSERT(zone.at(0).quarantinedFor({kCrashingRequest, {}}).has_value());
      CPPUNIT_ASSERT(!zone.at(0).quarantinedFor({kInnocentRequest, {}}).has_value());
    }
  }

  void twoCrashesDoNotQuarantine() {
    QuarantineZone zone(9);
    zone.crash(1, kCrashingRequest, 1);
    zone.crash(2, kCrashingRequest, 2);
    zone.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void crashSeenByManyNodesCountsOnce() {
    QuarantineZone zone(9);
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.crash(node, kCrashingRequest, 1);
      zone.run(milliseconds(20));
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// Engines keep their name across restarts; each crash of a new incarnation counts.
  void repeatedCrashOfOneEngineCountsAgain() {
    QuarantineZone zone(9);
    for (std::size_t node = 0; node < 3; ++node) {
      zone.crash(node, kCrashingRequest, 1);
      zone.run(seconds(2));
    }
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

  void brokenStreamOfRunningEngineIsNoCrash() {
    QuarantineZone zone(9);
    for (int engine = 0; engine < 6; ++engine) {
      zone.runEngine(engine);
      zone.breakStream(static_cast<std::size_t>(engine), kCrashingRequest, engine);
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void oneProbeServesManyBrokenStreams() {
    QuarantineZone zone(1);
    for (common::RequestFingerprint request = 1; request <= 32; ++request) {
      zone.crash(0, request, 1);
    }
    zone.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, zone.engineProbes());
  }

  /// The first probe is lost with the closed keep-alive connection that it used.
  void closedConnectionIsNoCrash() {
    QuarantineZone zone(9);
    for (int engine = 0; engine < 6; ++engine) {
      zone.loseProbes(engine, 1);
      zone.breakStream(static_cast<std::size_t>(engine), kCrashingRequest, engine);
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// Leaving nodes still accept requests until their callers have moved to other nodes.
  void leavingNodesAreNotified() {
    QuarantineZone zone(9);
    zone.leave(4);
    crashThree(zone);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// The request ran on two engines that crashed for another reason; its third attempt succeeded.
  void answerClearsCrashHistory() {
    QuarantineZone zone(9);
    zone.crash(0, kInnocentRequest, 1);
    zone.crash(0, kInnocentRequest, 2);
    zone.run(milliseconds(200));
    zone.at(0).answered({kInnocentRequest, {}});
    zone.run(milliseconds(200));
    zone.crash(0, kInnocentRequest, 3);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kInnocentRequest));
  }

  /// Three engines of one rack fail together while each runs a request that many callers send.
  void requestAnsweredElsewhereIsNotQuarantined() {
    for (const std::size_t nodes : {9, 60}) {
      QuarantineZone zone(nodes);
      zone.at(nodes - 1).answered({kInnocentRequest, {}});
      zone.run(seconds(20));
      for (int engine = 1; engine <= 3; ++engine) {
        zone.crash(static_cast<std::size_t>(engine), kInnocentRequest, engine);
      }
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kInnocentRequest));
      // The recent answer protects the request against further crashes as well.
      for (int engine = 4; engine <= 6; ++engine) {
        zone.crash(static_cast<std::size_t>(engine), kInnocentRequest, engine);
      }
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kInnocentRequest));
    }
  }

  void lateAnswerReleasesRequestOnAllNodes() {
    QuarantineZone zone(60);
    crashThree(zone);
    zone.run(kPropagationTime);
    zone.at(40).answered({kCrashingRequest, {}});
    zone.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void startingNodesLearnQuarantine() {
    for (const std::size_t nodes : {9, 60}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kPropagationTime);
      zone.add();
      zone.restart(3);
      zone.updateMembers();
      zone.run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
    }
  }

  void survivesRestartOfAllNodes() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(kPropagationTime);
    restartAll(zone);
    zone.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

  void isolatedNodeLearnsQuarantineFromStore() {
    for (std::size_t cut = 0; cut < 9; ++cut) {
      QuarantineZone zone(9);
      zone.run(seconds(1));
      zone.cutOff(cut);
      zone.run(seconds(3));
      for (int engine = 1; engine <= 3; ++engine) {
        zone.crash((cut + static_cast<std::size_t>(engine)) % zone.size(), kCrashingRequest,
                   engine);
        zone.run(milliseconds(100));
      }
      zone.run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE("node " + std::to_string(cut),
                             zone.isQuarantined(cut, kCrashingRequest));
      CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
    }
  }

  void survivesRestartOfAllNodesAfterStoreOutage() {
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
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

  void toleratesLossOfOneCountingNode() {
    for (std::size_t lost = 0; lost < 9; ++lost) {
      QuarantineZone zone(9);
      const std::size_t reporter = (lost + 1) % zone.size();
      zone.crash(reporter, kCrashingRequest, 1);
      zone.crash(reporter, kCrashingRequest, 2);
      zone.run(milliseconds(200));
      zone.end(lost);
      zone.updateMembers();
      zone.crash((lost + 2) % zone.size(), kCrashingRequest, 3);
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("without node " + std::to_string(lost), zone.size() - 1,
                                   zone.nodesThatQuarantine(kCrashingRequest));
    }
  }

  /// Both counting nodes are killed, so that their successors depend on complete crash reports.
  void newCountingNodesReceiveEarlierCrashes() {
    QuarantineZone zone(9);
    const auto counting = zone.countingNodes(kCrashingRequest, 2);
    std::size_t reporter = 0;
    while (std::count(counting.begin(), counting.end(), reporter) != 0) {
      ++reporter;
    }
    zone.crash(reporter, kCrashingRequest, 1);
    zone.crash(reporter, kCrashingRequest, 2);
    zone.run(milliseconds(200));
    for (const std::size_t node : counting) {
      zone.end(node);
    }
    zone.updateMembers();
    zone.crash(reporter, kCrashingRequest, 3);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size() - 2, zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// During a rolling upgrade, only nodes of the new build may count crashes.
  void worksWithNodesOfEarlierBuild() {
    constexpr std::size_t kNodes = 9;
    for (std::size_t earlier = 1; earlier < kNodes - 1; ++earlier) {
      for (common::RequestFingerprint request = kCrashingRequest; request < kCrashingRequest + 5;
           ++request) {
        QuarantineZone zone(kNodes);
        zone.runEarlierBuild(0, earlier - 1);
        for (int engine = 1; engine <= 3; ++engine) {
          zone.crash(earlier + static_cast<std::size_t>(engine) % (kNodes - earlier), request,
                     engine);
          zone.run(milliseconds(100));
        }
        zone.run(kPropagationTime);
        CPPUNIT_ASSERT_EQUAL(kNodes - earlier, zone.nodesThatQuarantine(request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.messagesNotHandled());
      }
    }
  }

  /// Guards against a request that crashes engines for ever: the crashes below the limit were
  /// forgotten each time that all nodes were killed.
  void crashesCountOverRestartsOfAllNodes() {
    for (const std::size_t nodes : {1, 2, 9, 60}) {
      // Restarts after each crash, after the first and after the second.
      for (const std::vector<bool>& restarts :
           {std::vector{true, true}, std::vector{true, false}, std::vector{false, true}}) {
        for (const bool plain_call : {false, true}) {
          QuarantineZone zone(nodes);
          zone.run(seconds(2));
          for (int number = 1; number <= 3; ++number) {
            const auto node = static_cast<std::size_t>(number) % nodes;
            if (plain_call) {
              zone.at(node).callBroken(kCrashingRequest, "10.1.0.1:80");
            } else {
              zone.crash(node, kCrashingRequest, number);
            }
            zone.run(seconds(3));
            if (number <= 2 && restarts[static_cast<std::size_t>(number - 1)]) {
              restartAll(zone);
              zone.run(seconds(2));
            }
          }
          CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(nodes) + " nodes", nodes,
                                       zone.nodesThatQuarantine(kCrashingRequest));
        }
      }
    }
  }

  void crashesOfPartsCountOverRestartsOfAllNodes() {
    QuarantineZone zone(9);
    for (std::size_t number = 1; number <= 3; ++number) {
      zone.run(seconds(2));
      zone.crashUnder(number,
                      {kFirstRequest + number, {kFirstPart, kSecondPart + number, kCrashingPart}},
                      static_cast<int>(number));
      zone.run(seconds(1));
      if (number < 3) {
        restartAll(zone);
      }
    }
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingPart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
  }

  /// Two engines of a rack crash, requests like those that ran on them are answered at other nodes,
  /// then all nodes are killed.
  void crashesBeforeAnAnswerDoNotCountAfterRestart() {
    QuarantineZone zone(9);
    zone.run(seconds(2));
    const common::RequestContent content{kInnocentRequest, {kFirstPart, kSecondPart}};
    const std::size_t observer = (zone.storingNode() + 1) % zone.size();
    zone.crashUnder(observer, content, 1);
    zone.crashUnder(observer, content, 2);
    zone.run(milliseconds(300));
    for (std::size_t node = 0; node < zone.size(); ++node) {
      if (node != observer) {
        zone.at(node).answered(content);
      }
    }
    zone.run(seconds(6));
    restartAll(zone);
    zone.run(seconds(2));
    for (std::size_t number = 3; number <= 4; ++number) {
      zone.crashUnder(number, content, static_cast<int>(number));
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kInnocentRequest));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kSecondPart));
  }

  void oldCrashesDoNotCountAfterRestart() {
    QuarantineZone zone(9);
    zone.run(seconds(2));
    zone.crash(1, kCrashingRequest, 1);
    zone.crash(2, kCrashingRequest, 2);
    zone.run(zone.settings.memory - seconds(10));
    restartAll(zone);
    zone.run(seconds(20));
    zone.crash(3, kCrashingRequest, 3);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void crashesCountOverRestartsBesideNodesOfEarlierBuild() {
    QuarantineZone zone(9);
    zone.runEarlierBuild(0, 3);
    zone.run(seconds(2));
    zone.crash(5, kCrashingRequest, 1);
    zone.crash(6, kCrashingRequest, 2);
    zone.run(seconds(1));
    restartAll(zone);
    zone.runEarlierBuild(0, 3);
    zone.run(seconds(2));
    zone.crash(7, kCrashingRequest, 3);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// A rack with four engines ends, each with 32 streams.
  void manyCrashesTakeFewStoreCalls() {
    constexpr std::uint64_t kMaximumChanges = 6;
    QuarantineZone zone(60);
    zone.run(seconds(2));
    const std::uint64_t before = zone.platform().store().revision();
    for (int engine = 1; engine <= 4; ++engine) {
      for (std::size_t stream = 0; stream < 32; ++stream) {
        const auto number = static_cast<std::size_t>(engine) * 32 + stream;
        zone.crashUnder(number % zone.size(),
                        {kFirstRequest + number, {kFirstPart, kSecondPart + number}}, engine);
      }
      zone.run(milliseconds(50));
    }
    zone.run(milliseconds(600));
    for (std::size_t number = 32; number < 160; ++number) {
      zone.at(number % zone.size())
          .answered({kFirstRequest + number, {kFirstPart, kSecondPart + number}});
    }
    zone.run(seconds(20));
    const std::uint64_t changes = zone.platform().store().revision() - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(changes) + " changes", changes <= kMaximumChanges);
  }

  void storedCrashesRoundTrip() {
    StoredQuarantine stored;
    stored.requests = {kInnocentRequest, kCrashingRequest};
    stored.crashes = {{kFirstPart,
                       {{7, milliseconds(1'800'000'000'123), true, {kSecondPart}, {}},
                        {8, milliseconds(1'800'000'004'456), false, {}, {kCrashingPart}}}}};
    stored.original_text = R"({"requests": [], "of_a_later_build": 5})";
    const std::string text = encodeStoredQuarantine(stored);
    const StoredQuarantine read = decodeStoredQuarantine(text);
    CPPUNIT_ASSERT(read.requests == stored.requests);
    CPPUNIT_ASSERT(read.crashes == stored.crashes);
    CPPUNIT_ASSERT(text.find("of_a_later_build") != std::string::npos);
    const StoredQuarantine damaged = decodeStoredQuarantine(
        R"({"requests": [], "crashes": [7, {}, {"request": 1, "crashes": []},
            {"request": "a1", "crashes": [7, {}, {"engine": "b1"}, {"engine": "b1", "at_ms": -1},
             {"engine": "b1", "at_ms": 5, "output_began": "no", "later_parts": [1, "c1"]}]}]})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, damaged.crashes.size());
    const std::vector<StoredCrash> readable = {{0xB1, milliseconds(5), false, {}, {0xC1}}};
    CPPUNIT_ASSERT(damaged.crashes.front().crashes == readable);
  }

  void expiresWithoutFurtherRequests() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(zone.settings.memory + seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
    // The expired entry must be gone from the store, too.
    restartAll(zone);
    zone.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void lastsWhileRequestsArrive() {
    QuarantineZone zone(9);
    crashThree(zone);
    zone.run(kPropagationTime);
    for (int i = 0; i < 4; ++i) {
      zone.run(zone.settings.memory / 2);
      CPPUNIT_ASSERT(zone.at(5).quarantinedFor({kCrashingRequest, {}}).has_value());
    }
  }

  void listSizeIsBounded() {
    QuarantineZone zone(1);
    zone.settings.maximum_tracked_requests = 100;
    zone.settings.maximum_quarantined = 10;
    zone.restart(0);
    for (common::RequestFingerprint request = 1; request <= 300; ++request) {
      crashThree(zone, request);
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.at(0).all().size());
  }

  void messagesPerNodeAreIndependentOfZoneSize() {
    constexpr double kMaximumMessages = 12;
    for (const std::size_t nodes : {30, 100, 300, 1000}) {
      QuarantineZone zone(nodes);
      crashThree(zone);
      zone.run(kPropagationTime);
      const double each = static_cast<double>(zone.messages()) / static_cast<double>(zone.size());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes: " + std::to_string(each),
                             each < kMaximumMessages);
    }
  }

  void nothingIsQuarantinedWhenDisabled() {
    QuarantineZone zone(2);
    zone.settings.quarantines = false;
    restartAll(zone);
    crashThree(zone);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
  }

  void requestsWithoutFingerprintAreIgnored() {
    QuarantineZone zone(2);
    crashThree(zone, 0);
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(0));
  }

  void partOfDifferentRequestsIsQuarantinedOnAllNodes() {
    for (const std::size_t nodes : {1, 2, 9, 24, 66, 300}) {
      QuarantineZone zone(nodes);
      crashThreeWith(zone, {kFirstPart, kCrashingPart});
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(nodes) + " nodes", nodes,
                                   zone.nodesThatQuarantine(kCrashingPart));
      CPPUNIT_ASSERT(zone.at(0).quarantinedFor({kInnocentRequest, {kCrashingPart}}).has_value());
      CPPUNIT_ASSERT(!zone.at(0).quarantinedFor({kInnocentRequest, {kFirstPart}}).has_value());
    }
  }

  void narrowestPartIsBlamed() {
    QuarantineZone zone(9);
    crashThreeWith(zone, {kFirstPart, kSecondPart, kCrashingPart});
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingPart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kSecondPart));
  }

  void firstPartOfDifferentPromptsIsBlamed() {
    QuarantineZone zone(9);
    for (std::size_t number = 1; number <= 3; ++number) {
      zone.crashUnder(number, {kFirstRequest + number, {kCrashingPart, kSecondPart + number}},
                      static_cast<int>(number));
      zone.run(milliseconds(100));
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingPart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kSecondPart + 1));
  }

  /// Guards against the quarantine of a sound first part: four callers at once sent different
  /// second parts before the crashing one, before any prompt with the first part was answered.
  void firstPartBeforeACrashingOneIsNotBlamed() {
    for (const std::size_t nodes : {1, 2, 9, 24, 66, 300}) {
      for (const std::size_t callers : {1, 2, 4, 8}) {
        QuarantineZone zone(nodes);
        for (std::size_t number = 0; number < 2 * callers; ++number) {
          const std::size_t caller = number / 2;
          zone.crashUnder(
              caller % nodes,
              {kFirstRequest + caller, {kFirstPart, kSecondPart + caller, kCrashingPart}},
              static_cast<int>(number));
        }
        zone.run(milliseconds(100));
        zone.crashUnder(0, {kFirstRequest + callers, {kFirstPart, kSecondPart, kCrashingPart}},
                        static_cast<int>(2 * callers));
        zone.run(kPropagationTime);
        const std::string name =
            std::to_string(nodes) + " nodes, " + std::to_string(callers) + " callers";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, nodes, zone.nodesThatQuarantine(kCrashingPart));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
      }
    }
  }

  /// Guards against the quarantine of a sound part that stands behind the crashing one in all
  /// prompts, if none of them is answered while engines crash.
  void partBehindACrashingOneIsNotBlamed() {
    for (const std::size_t nodes : {1, 9, 66}) {
      QuarantineZone zone(nodes);
      for (std::size_t node = 0; node < nodes; ++node) {
        zone.at(node).answered({kInnocentRequest + node, {kFirstPart, kSecondPart}});
      }
      zone.run(seconds(2));
      crashThreeWith(zone, {kFirstPart, kCrashingPart, kSecondPart});
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL(nodes, zone.nodesThatQuarantine(kCrashingPart));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kSecondPart));
    }
  }

  /// The same part stands behind the crashing one in all prompts, and sound prompts with it are
  /// answered, at any node.
  void partBeforeAnAnsweredPartIsBlamed() {
    constexpr std::size_t kMaximumCrashes = 5;
    for (const std::size_t nodes : {1, 2, 9, 24, 66, 300}) {
      for (const std::size_t answering : {std::size_t{0}, nodes / 2, nodes - 1}) {
        QuarantineZone zone(nodes);
        for (std::size_t crash = 1; crash <= kMaximumCrashes; ++crash) {
          zone.crashUnder(crash % nodes,
                          {kFirstRequest + crash, {kCrashingPart, kFirstPart, kSecondPart}},
                          static_cast<int>(crash));
          zone.run(milliseconds(100));
          zone.at(answering).answered({kInnocentRequest, {kFirstPart, kSecondPart}});
          zone.run(milliseconds(400));
        }
        zone.run(kPropagationTime);
        const std::string name =
            std::to_string(nodes) + " nodes, answers at " + std::to_string(answering);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, nodes, zone.nodesThatQuarantine(kCrashingPart));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, zone.nodesThatQuarantine(kSecondPart));
      }
    }
  }

  void partAnsweredSinceFirstCrashIsNotBlamed() {
    for (const std::size_t nodes : {9, 66}) {
      QuarantineZone zone(nodes);
      zone.crashUnder(1, {kFirstRequest, {kFirstPart}}, 1);
      zone.run(milliseconds(100));
      zone.at(nodes - 1).answered({kInnocentRequest, {kFirstPart}});
      zone.crashUnder(2, {kFirstRequest + 1, {kFirstPart}}, 2);
      zone.run(milliseconds(100));
      zone.crashUnder(3, {kFirstRequest + 2, {kFirstPart}}, 3);
      zone.run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
    }
  }

  /// Engines began to crash on a part with which prompts were answered until then.
  void partAnsweredBeforeFirstCrashIsBlamed() {
    QuarantineZone zone(9);
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.at(node).answered({kInnocentRequest + node, {kCrashingPart}});
    }
    zone.run(milliseconds(200));
    crashThreeWith(zone, {kCrashingPart});
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingPart));
  }

  void streamsWithOutputDoNotBlameParts() {
    QuarantineZone zone(9);
    for (int engine = 1; engine <= 9; ++engine) {
      const auto number = static_cast<std::size_t>(engine);
      zone.crashUnder(number % zone.size(), {kFirstRequest + number, {kFirstPart}}, engine,
                      OutputProgress::kUnderWay);
      zone.run(milliseconds(100));
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kFirstPart));
  }

  void streamsWithOutputCountHalf() {
    QuarantineZone zone(9);
    for (int engine = 1; engine <= 6; ++engine) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
      zone.crashUnder(static_cast<std::size_t>(engine), {kCrashingRequest, {}}, engine,
                      OutputProgress::kUnderWay);
      zone.run(milliseconds(100));
    }
    zone.run(kPropagationTime);
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

  /// Guards against a request, or a part of prompts, that crashes six engines instead of three,
  /// since each crash right after the first token counted half.
  void crashesAfterAFirstTokenCountInFull() {
    for (const std::size_t nodes : {1, 9, 60}) {
      QuarantineZone zone(nodes);
      for (std::size_t number = 1; number <= 3; ++number) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingPart));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingRequest));
        zone.crashUnder(number % nodes, {kFirstRequest + number, {kCrashingPart}},
                        static_cast<int>(2 * number), OutputProgress::kFirstToken);
        zone.crashUnder(number % nodes, {kCrashingRequest, {}}, static_cast<int>(2 * number + 1),
                        OutputProgress::kFirstToken);
        zone.run(milliseconds(200));
      }
      zone.run(kPropagationTime);
      CPPUNIT_ASSERT_EQUAL(nodes, zone.nodesThatQuarantine(kCrashingPart));
      CPPUNIT_ASSERT_EQUAL(nodes, zone.nodesThatQuarantine(kCrashingRequest));
    }
  }

  /// A part that was blamed wrongly must not be refused for as long as callers send it.
  void partIsReleasedAfterFixedTime() {
    QuarantineZone zone(9);
    crashThreeWith(zone, {kCrashingPart});
    const auto end = zone.settings.memory + seconds(10);
    for (common::Duration spent{0}; spent < end; spent += seconds(10)) {
      zone.run(seconds(10));
      zone.at(5).quarantinedFor({kFirstRequest + 9, {kCrashingPart}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.nodesThatQuarantine(kCrashingPart));
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
    CPPUNIT_ASSERT_EQUAL(zone.size(), zone.nodesThatQuarantine(kCrashingRequest));
  }

 private:
  static void crashThree(QuarantineZone& zone,
                         common::RequestFingerprint request = kCrashingRequest) {
    for (int engine = 1; engine <= 3; ++engine) {
      zone.crash(static_cast<std::size_t>(engine) % zone.size(), request, engine);
      zone.run(milliseconds(100));
    }
  }
  /// Crashes three engines under different requests that have these parts in common.
  static void crashThreeWith(QuarantineZone& zone,
                             const std::vector<common::RequestFingerprint>& parts) {
    for (std::size_t number = 1; number <= 3; ++number) {
      zone.crashUnder(number % zone.size(), {kFirstRequest + number, parts},
                      static_cast<int>(number));
      zone.run(milliseconds(100));
    }
  }
  static void restartAll(QuarantineZone& zone) {
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.restart(node);
    }
    zone.updateMembers();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetQuarantineTest);

}  // namespace
}  // namespace cypresswall::quarantine
