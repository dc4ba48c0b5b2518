/// Guards against requests to a server that has refused one with 503 and Retry-After, before that
/// time is over.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/availability/announcing_fleet.h"

namespace cypresswall::availability {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AnnouncingFleet;
using testing::Arrivals;

constexpr common::Duration kPause = seconds(3);
/// Requests that were on their way may arrive for this long after the refusal.
constexpr common::Duration kTransitAllowance = milliseconds(500);
/// Requests of one node that may arrive during one pause.
constexpr std::size_t kAllowedRequests = 2;

void requirePaused(const std::string& server, const Arrivals& arrivals, common::MonotonicTime from,
                   std::uint64_t seed) {
  for (const auto& [node, times] : testing::afterFirstAnswer(arrivals, from)) {
    std::size_t during = 0;
    for (const common::Duration time : times) {
      during += time > kTransitAllowance && time < kPause ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(server + " got " + std::to_string(during) +
                               " requests of a node during the pause that it had asked for, seed " +
                               std::to_string(seed),
                           during <= kAllowedRequests);
  }
}

class PausedServersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PausedServersTest);
  CPPUNIT_TEST(pausedEnginesGetNoRequests);
  CPPUNIT_TEST(pausedBackendGetsNoRequests);
  CPPUNIT_TEST(pausedEnginesGetNoRequestsInLargeZone);
  CPPUNIT_TEST(callersAreRefusedAtOnceWhileAllServersPause);
  CPPUNIT_TEST(serversAreUsedAgainAfterTheirPause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void pausedEnginesGetNoRequests() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      AnnouncingFleet fleet(seed);
      fleet.sendRequests(seconds(3));
      const auto from = fleet.now();
      for (const std::uint32_t engine : {1U, 4U, 7U}) {
        pauseEngine(fleet, engine);
      }
      fleet.sendRequests(seconds(5));
      for (const std::uint32_t engine : {1U, 4U, 7U}) {
        requirePaused("engine", fleet.arrivalsAtEngine(engine), from, seed);
      }
      requireAnswered(fleet, from);
    }
  }

  void pausedBackendGetsNoRequests() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      AnnouncingFleet fleet(seed);
      fleet.sendRequests(seconds(3));
      const auto from = fleet.now();
      pauseBackend(fleet, 2);
      fleet.sendRequests(seconds(5));
      requirePaused("back end", fleet.arrivalsAtBackend(2), from, seed);
      requireAnswered(fleet, from);
    }
  }

  /// Owners of engines choose for the other nodes, which were told things that owners don't know.
  void pausedEnginesGetNoRequestsInLargeZone() {
    testing::AnnouncingFleetScenario scenario;
    scenario.nodes = 60;
    scenario.engines = 12;
    scenario.between_requests = milliseconds(2);
    AnnouncingFleet fleet(1, scenario);
    fleet.sendRequests(seconds(3));
    const auto from = fleet.now();
    for (std::uint32_t engine = 0; engine < 4; ++engine) {
      pauseEngine(fleet, engine);
    }
    fleet.sendRequests(seconds(5));
    for (std::uint32_t engine = 0; engine < 4; ++engine) {
      requirePaused("engine", fleet.arrivalsAtEngine(engine), from, 1);
    }
    requireAnswered(fleet, from);
  }

  /// The Retry-After time must not bring callers back before any server takes requests again.
  void callersAreRefusedAtOnceWhileAllServersPause() {
    testing::AnnouncingFleetScenario scenario;
    scenario.engines = 3;
    scenario.backends = 2;
    AnnouncingFleet fleet(1, scenario);
    fleet.sendRequests(seconds(3));
    for (std::uint32_t engine = 0; engine < scenario.engines; ++engine) {
      pauseEngine(fleet, engine);
    }
    for (std::uint32_t backend = 0; backend < scenario.backends; ++backend) {
      pauseBackend(fleet, backend);
    }
    fleet.sendRequests(seconds(1));
    const auto from = fleet.now();
    fleet.sendRequests(milliseconds(500));
    std::size_t refused = 0;
    for (const simulation::CallerRecord& record : fleet.simulated().records()) {
      if (record.asked_at < from || record.result != simulation::CallerResult::kError) {
        continue;
      }
      ++refused;
      CPPUNIT_ASSERT(record.error.outcome == execution::Outcome::kNotRun);
      CPPUNIT_ASSERT(record.ended_at - record.asked_at <= milliseconds(100));
      CPPUNIT_ASSERT(record.error.retry_after >= milliseconds(1000));
    }
    CPPUNIT_ASSERT(refused > 0);
  }

  void serversAreUsedAgainAfterTheirPause() {
    AnnouncingFleet fleet(1);
    fleet.sendRequests(seconds(3));
    pauseEngine(fleet, 4);
    pauseBackend(fleet, 2);
    fleet.sendRequests(seconds(2));
    fleet.changeEngine(4, [](auto& faults) {
      faults.refuse = false;
      faults.pause.reset();
    });
    fleet.changeBackend(2, [](auto& faults) { faults.pause.reset(); });
    fleet.sendRequests(seconds(6));
    const auto since = fleet.now() - seconds(2);
    CPPUNIT_ASSERT(countFrom(fleet.arrivalsAtEngine(4), since) > 0);
    CPPUNIT_ASSERT(countFrom(fleet.arrivalsAtBackend(2), since) > 0);
  }

 private:
  static void pauseEngine(AnnouncingFleet& fleet, std::uint32_t number) {
    fleet.changeEngine(number, [](auto& faults) {
      faults.refuse = true;
      faults.pause = kPause;
    });
  }
  static void pauseBackend(AnnouncingFleet& fleet, std::uint32_t number) {
    fleet.changeBackend(number, [](auto& faults) { faults.pause = kPause; });
  }
  static std::size_t countFrom(const Arrivals& arrivals, common::MonotonicTime from) {
    std::size_t count = 0;
    for (const auto& [time, node] : arrivals) {
      count += time >= from ? 1 : 0;
    }
    return count;
  }
  static void requireAnswered(const AnnouncingFleet& fleet, common::MonotonicTime from) {
    const std::size_t answered = fleet.answeredPercent(from);
    CPPUNIT_ASSERT_MESSAGE("percent answered: " + std::to_string(answered), answered >= 97);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedServersTest);

}  // namespace
}  // namespace cypresswall::availability
