/// Tests of the simulator: order of events, clocks, faults, and reproducibility of a run from its
/// seed.
#include "cypresswall/simulation/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/support/property.h"

namespace cypresswall::simulation {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Ping {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kExecutionFirst, 99);
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// Sends a ping to a random peer every few milliseconds and counts the pings that it receives.
class PingSender {
 public:
  PingSender(const api::ProcessContext& context, std::vector<common::Address> peers)
      : context_(context), peers_(std::move(peers)) {
    context_.dispatcher.handle<Ping>(
        [this](const common::NodeId&, const Ping& ping) { received.push_back(ping.number); });
    tick();
  }
  std::vector<std::uint64_t> received;

 private:
  void tick() {
    context_.sendToAddress(peers_[context_.random.below(peers_.size())], Ping{sent_++});
    context_.scheduler.schedule(milliseconds(1 + context_.random.below(5)), [this] { tick(); });
  }

  const api::ProcessContext& context_;
  std::vector<common::Address> peers_;
  std::uint64_t sent_ = 0;
};

struct RunDigest {
  std::uint64_t digest = 0;
  std::uint64_t events = 0;
  std::string faults;
};

NetworkSettings faultyNetwork() {
  NetworkSettings settings;
  settings.inside_zone.loss = 0.05;
  settings.inside_zone.duplication = 0.05;
  settings.inside_zone.reordering = 0.1;
  settings.between_zones.loss = 0.05;
  return settings;
}

RunDigest runPingExchange(std::uint64_t seed) {
  const std::vector<common::Address> addresses{"10.0.0.1:1", "10.0.0.2:1", "10.0.1.1:1"};
  const auto zoneOf = [&](std::size_t index) { return index == 2 ? "b" : "a"; };
  Simulation simulation(seed, faultyNetwork());
  for (std::size_t index = 0; index < addresses.size(); ++index) {
    auto& process = simulation.start(addresses[index], zoneOf(index), {seconds(index), 50});
    process.emplace<PingSender>(process.context(), addresses);
  }
  simulation.time().runFor(seconds(1));
  simulation.pauseFor(*simulation.processes()[0], milliseconds(300));
  simulation.network().cutOneWay("b", "a");
  simulation.time().runFor(seconds(1));
  auto& replacement = simulation.start(addresses[1], "a");
  replacement.emplace<PingSender>(replacement.context(), addresses);
  simulation.network().healAll();
  simulation.time().runFor(seconds(1));
  return {simulation.digest().value(), simulation.digest().events(), simulation.faults().summary()};
}

class SimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulationTest);
  CPPUNIT_TEST(simultaneousEventsRunInOrderOfScheduling);
  CPPUNIT_TEST(cancelledEventsDoNotRun);
  CPPUNIT_TEST(clockDriftsAndTimersFollowIt);
  CPPUNIT_TEST(pausedProcessRunsItsEventsOnResume);
  CPPUNIT_TEST(killedProcessRunsNothingMore);
  CPPUNIT_TEST(messagesToAPreviousIncarnationAreDropped);
  CPPUNIT_TEST(oneWayCutLetsTheOtherWayThrough);
  CPPUNIT_TEST(cutInsideAZoneSeparatesTwoNodes);
  CPPUNIT_TEST(sameSeedGivesSameDigest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void simultaneousEventsRunInOrderOfScheduling() {
    VirtualTime time;
    std::string order;
    time.schedule(milliseconds(2), [&] { order += "c"; });
    time.schedule(milliseconds(1), [&] { order += "a"; });
    time.schedule(milliseconds(1), [&] { order += "b"; });
    time.runFor(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
    CPPUNIT_ASSERT(time.now() == common::MonotonicTime{} + milliseconds(5));
  }

  void cancelledEventsDoNotRun() {
    VirtualTime time;
    int runs = 0;
    const auto cancelled = time.schedule(milliseconds(1), [&] { ++runs; });
    time.schedule(milliseconds(2), [&] { ++runs; });
    time.cancel(cancelled);
    time.cancel(cancelled);
    while (time.step()) {
    }
    CPPUNIT_ASSERT_EQUAL(1, runs);
  }

  void clockDriftsAndTimersFollowIt() {
    Simulation simulation(1);
    auto& process = simulation.start("10.0.0.1:1", "a", {seconds(9), 100'000});
    const auto start = process.context().clock.now();
    CPPUNIT_ASSERT(start == common::MonotonicTime{} + seconds(9));
    bool fired = false;
    process.context().scheduler.schedule(milliseconds(110), [&] {
      fired = true;
      CPPUNIT_ASSERT(process.context().clock.now() - start >= milliseconds(110));
    });
    simulation.time().runFor(milliseconds(99));
    CPPUNIT_ASSERT(!fired);
    simulation.time().runFor(milliseconds(2));
    CPPUNIT_ASSERT(fired);
  }

  void pausedProcessRunsItsEventsOnResume() {
    Simulation simulation(1);
    auto& process = simulation.start("10.0.0.1:1", "a");
    std::vector<common::MonotonicTime> runs;
    const auto note = [&] { runs.push_back(simulation.time().now()); };
    process.context().scheduler.schedule(milliseconds(10), note);
    const auto cancelled = process.context().scheduler.schedule(milliseconds(10), note);
    process.deliverAfter(milliseconds(20), note);
    simulation.pauseFor(process, seconds(5));
    simulation.time().runFor(seconds(4));
    CPPUNIT_ASSERT(runs.empty());
    process.context().scheduler.cancel(cancelled);
    simulation.time().runFor(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    CPPUNIT_ASSERT(runs[0] == common::MonotonicTime{} + seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, simulation.faults().count(FaultKind::kPause));
  }

  void killedProcessRunsNothingMore() {
    Simulation simulation(1);
    auto& process = simulation.start("10.0.0.1:1", "a");
    const auto token = std::make_shared<int>(0);
    process.emplace<std::shared_ptr<int>>(token);
    process.context().scheduler.schedule(seconds(1), [token] { ++*token; });
    process.deliverAfter(seconds(1), [token] { ++*token; });
    process.context().scheduler.schedule(milliseconds(1), [&] { simulation.kill(process); });
    simulation.time().runFor(milliseconds(2));
    CPPUNIT_ASSERT(!process.alive());
    CPPUNIT_ASSERT_EQUAL(1L, token.use_count());
    simulation.time().runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, *token);
  }

  void messagesToAPreviousIncarnationAreDropped() {
    Simulation simulation(1);
    auto& sender = simulation.start("10.0.0.1:1", "a");
    auto& first = simulation.start("10.0.0.2:1", "a");
    const auto first_incarnation = first.id();
    auto& second = simulation.start("10.0.0.2:1", "a");
    CPPUNIT_ASSERT(first_incarnation != second.id());
    int received = 0;
    second.context().dispatcher.handle<Ping>([&](const auto&, const Ping&) { ++received; });
    sender.context().sendTo(first_incarnation, Ping{1});
    sender.context().sendTo(second.id(), Ping{2});
    sender.context().sendToAddress(first_incarnation.address, Ping{3});
    simulation.time().runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(2, received);
  }

  void oneWayCutLetsTheOtherWayThrough() {
    Simulation simulation(1);
    auto& west = simulation.start("10.0.0.1:1", "west");
    auto& east = simulation.start("10.0.0.2:1", "east");
    int at_west = 0;
    int at_east = 0;
    west.context().dispatcher.handle<Ping>([&](const auto&, const Ping&) { ++at_west; });
    east.context().dispatcher.handle<Ping>([&](const auto&, const Ping&) { ++at_east; });
    simulation.network().cutOneWay("west", "east");
    west.context().sendTo(east.id(), Ping{1});
    east.context().sendTo(west.id(), Ping{2});
    simulation.time().runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, at_west);
    CPPUNIT_ASSERT_EQUAL(0, at_east);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, simulation.faults().count(FaultKind::kMessageCut));
  }

  void cutInsideAZoneSeparatesTwoNodes() {
    Simulation simulation(1);
    auto& first = simulation.start("10.0.0.1:1", "a");
    auto& second = simulation.start("10.0.0.2:1", "a");
    int received = 0;
    second.context().dispatcher.handle<Ping>([&](const auto&, const Ping&) { ++received; });
    simulation.network().cutAddresses(first.id().address, second.id().address);
    first.context().sendTo(second.id(), Ping{1});
    simulation.time().runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, received);
    simulation.network().healAll();
    first.context().sendTo(second.id(), Ping{2});
    simulation.time().runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, received);
  }

  void sameSeedGivesSameDigest() {
    constexpr int kRuns = 20;
    testing::requireProperty("the same seed replays a run", kRuns, [](std::uint64_t seed) {
      const RunDigest first = runPingExchange(seed);
      const RunDigest second = runPingExchange(seed);
      const RunDigest other = runPingExchange(seed + 1);
      RC_ASSERT(first.events > std::uint64_t{500});
      RC_ASSERT(first.digest == second.digest);
      RC_ASSERT(first.faults == second.faults);
      RC_ASSERT(first.digest != other.digest);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimulationTest);

}  // namespace
}  // namespace cypresswall::simulation
