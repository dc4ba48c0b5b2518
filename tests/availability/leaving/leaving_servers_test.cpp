/// Guards against requests to a server that has said in an answer that it leaves, while the
/// platform's store cannot tell so.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/availability/announcing_fleet.h"

namespace cypresswall::availability {
namespace {

using std::chrono::seconds;
using testing::AnnouncingFleet;
using testing::Arrivals;

/// Time after the first answer that says so within which a node may still send to the server.
constexpr common::Duration kDrainLimit = seconds(2);

void requireLeft(const std::string& server, const Arrivals& arrivals, common::MonotonicTime from,
                 std::uint64_t seed) {
  std::size_t late = 0;
  for (const auto& [node, times] : testing::afterFirstAnswer(arrivals, from)) {
    for (const common::Duration time : times) {
      late += time > kDrainLimit ? 1 : 0;
    }
  }
  CPPUNIT_ASSERT_MESSAGE(server + " got " + std::to_string(late) +
                             " requests of nodes that it had told 2 s before, seed " +
                             std::to_string(seed),
                         late == 0);
}

class LeavingServersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingServersTest);
  CPPUNIT_TEST(leavingBackendGetsNoRequests);
  CPPUNIT_TEST(leavingEngineGetsNoRequests);
  CPPUNIT_TEST(leavingEngineGetsNoRequestsInLargeZone);
  CPPUNIT_TEST(lastBackendsThatLeaveAreNotUsedEither);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leavingBackendGetsNoRequests() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      AnnouncingFleet fleet(seed);
      fleet.sendRequests(seconds(3));
      const auto from = fleet.now();
      fleet.changeBackend(1, [](auto& faults) { faults.leaving = true; });
      fleet.sendRequests(seconds(8));
      requireLeft("back end", fleet.arrivalsAtBackend(1), from, seed);
      requireAnswered(fleet, from);
    }
  }

  void leavingEngineGetsNoRequests() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      AnnouncingFleet fleet(seed);
      fleet.sendRequests(seconds(3));
      const auto from = fleet.now();
      for (const std::uint32_t engine : {2U, 5U}) {
        fleet.changeEngine(engine, [](auto& faults) { faults.leaving = true; });
      }
      fleet.sendRequests(seconds(8));
      requireLeft("engine", fleet.arrivalsAtEngine(2), from, seed);
      requireLeft("engine", fleet.arrivalsAtEngine(5), from, seed);
      requireAnswered(fleet, from);
    }
  }

  /// Owners of engines choose for the other nodes, which were told things that owners don't know.
  void leavingEngineGetsNoRequestsInLargeZone() {
    testing::AnnouncingFleetScenario scenario;
    scenario.nodes = 60;
    scenario.engines = 36;
    scenario.between_requests = std::chrono::milliseconds(4);
    AnnouncingFleet fleet(1, scenario);
    fleet.sendRequests(seconds(3));
    const auto from = fleet.now();
    for (std::uint32_t engine = 0; engine < 6; ++engine) {
      fleet.changeEngine(engine, [](auto& faults) { faults.leaving = true; });
    }
    fleet.sendRequests(seconds(8));
    for (std::uint32_t engine = 0; engine < 6; ++engine) {
      requireLeft("engine", fleet.arrivalsAtEngine(engine), from, 1);
    }
    requireAnswered(fleet, from);
  }

  void lastBackendsThatLeaveAreNotUsedEither() {
    AnnouncingFleet fleet(1);
    fleet.sendRequests(seconds(3));
    const auto from = fleet.now();
    for (std::uint32_t backend = 0; backend < 4; ++backend) {
      fleet.changeBackend(backend, [](auto& faults) { faults.leaving = true; });
    }
    fleet.sendRequests(seconds(6));
    for (std::uint32_t backend = 0; backend < 4; ++backend) {
      requireLeft("back end", fleet.arrivalsAtBackend(backend), from, 1);
    }
  }

 private:
  static void requireAnswered(const AnnouncingFleet& fleet, common::MonotonicTime from) {
    const std::size_t answered = fleet.answeredPercent(from);
    CPPUNIT_ASSERT_MESSAGE("percent answered: " + std::to_string(answered), answered >= 97);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServersTest);

}  // namespace
}  // namespace cypresswall::availability
