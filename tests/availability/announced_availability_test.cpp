#include "cypresswall/availability/announced_availability.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::availability {
namespace {

using common::ServerAnnouncement;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char* kServer = "engine-1+100";
constexpr const char* kNextLife = "engine-1+200";

class NullTransport final : public api::PeerTransport {
 public:
  void send(api::Envelope) override {}
};

ServerAnnouncement pauseOf(common::Duration pause) { return {false, pause}; }

class AnnouncedAvailabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncedAvailabilityTest);
  CPPUNIT_TEST(serverThatLeavesGetsNothing);
  CPPUNIT_TEST(leavingOutlastsAnswersThatDoNotSaySo);
  CPPUNIT_TEST(leavingEndsWithoutConfirmation);
  CPPUNIT_TEST(nextLifeBeginsWithoutAnnouncements);
  CPPUNIT_TEST(restartUnderTheSameNameEndsAnnouncements);
  CPPUNIT_TEST(pauseEndsWithinItsJitter);
  CPPUNIT_TEST(pauseThatEndsLastWins);
  CPPUNIT_TEST(unreadablePauseChangesNothing);
  CPPUNIT_TEST(pauseThatEndsDoesNotEndLeaving);
  CPPUNIT_TEST(listenersAreToldOfChangesOnly);
  CPPUNIT_TEST(gaugeFallsWhenAPauseEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void serverThatLeavesGetsNothing() {
    CPPUNIT_ASSERT(announced_.acceptsRequests(kServer));
    announced_.answered(kServer, {true});
    CPPUNIT_ASSERT(announced_.leaving(kServer));
    CPPUNIT_ASSERT(!announced_.acceptsRequests(kServer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, announced_.unavailable().size());
  }
  void leavingOutlastsAnswersThatDoNotSaySo() {
    announced_.answered(kServer, {true});
    time_.runFor(seconds(5));
    announced_.answered(kServer, {});
    CPPUNIT_ASSERT(announced_.leaving(kServer));
  }
  void leavingEndsWithoutConfirmation() {
    announced_.answered(kServer, {true});
    time_.runFor(minutes(9));
    CPPUNIT_ASSERT(announced_.leaving(kServer));
    time_.runFor(minutes(2));
    CPPUNIT_ASSERT(announced_.acceptsRequests(kServer));
  }
  void nextLifeBeginsWithoutAnnouncements() {
    announced_.answered(kServer, {true, seconds(5)});
    CPPUNIT_ASSERT(announced_.acceptsRequests(kNextLife));
  }
  void restartUnderTheSameNameEndsAnnouncements() {
    announced_.answered(kServer, {true, seconds(5)});
    announced_.forget(kServer);
    CPPUNIT_ASSERT(announced_.acceptsRequests(kServer));
  }
  void pauseEndsWithinItsJitter() {
    announced_.answered(kServer, pauseOf(seconds(4)));
    time_.runFor(seconds(4) - std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(!announced_.acceptsRequests(kServer));
    CPPUNIT_ASSERT(!announced_.leaving(kServer));
    time_.runFor(seconds(1) + std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(announced_.acceptsRequests(kServer));
  }
  void pauseThatEndsLastWins() {
    announced_.answered(kServer, pauseOf(seconds(10)));
    const auto until = announced_.pausedUntil(kServer);
    announced_.answered(kServer, pauseOf(seconds(1)));
    announced_.answered(kServer, pauseOf(seconds(0)));
    CPPUNIT_ASSERT(announced_.pausedUntil(kServer) == until);
    announced_.answered(kServer, pauseOf(seconds(60)));
    CPPUNIT_ASSERT(announced_.pausedUntil(kServer) >= time_.now() + seconds(60));
  }
  void unreadablePauseChangesNothing() {
    announced_.answered(kServer, {false, {}, true});
    CPPUNIT_ASSERT(announced_.acceptsRequests(kServer));
    CPPUNIT_ASSERT_EQUAL(1.0, counters_.total("cypresswall_servers_pauses_unreadable_total"));
  }
  void pauseThatEndsDoesNotEndLeaving() {
    announced_.answered(kServer, {true, seconds(1)});
    time_.runFor(seconds(3));
    CPPUNIT_ASSERT(!announced_.acceptsRequests(kServer));
  }
  void listenersAreToldOfChangesOnly() {
    std::size_t changes = 0;
    announced_.onChange([&changes](const std::string&) { ++changes; });
    announced_.answered(kServer, {});
    announced_.answered(kServer, {true});
    announced_.answered(kServer, {true});
    announced_.answered(kServer, pauseOf(seconds(5)));
    announced_.answered(kServer, pauseOf(seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes);
  }
  void gaugeFallsWhenAPauseEnds() {
    announced_.answered(kServer, pauseOf(seconds(1)));
    announced_.answered(kNextLife, {true});
    CPPUNIT_ASSERT_EQUAL(2.0, counters_.total("cypresswall_servers_unavailable_announced"));
    time_.runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(1.0, counters_.total("cypresswall_servers_unavailable_announced"));
    time_.runFor(minutes(10));
    CPPUNIT_ASSERT_EQUAL(0.0, counters_.total("cypresswall_servers_unavailable_announced"));
  }

 private:
  simulation::VirtualTime time_;
  common::SeededRandom random_{7};
  common::CounterRegistry counters_;
  NullTransport transport_;
  api::MessageDispatcher dispatcher_;
  api::ProcessContext context_{common::NodeId{"127.0.0.1:1", 7},
                               "quay",
                               time_,
                               time_,
                               random_,
                               common::nullLogSink(),
                               counters_,
                               transport_,
                               dispatcher_};
  AnnouncedAvailability announced_{{}, context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncedAvailabilityTest);

}  // namespace
}  // namespace cypresswall::availability
