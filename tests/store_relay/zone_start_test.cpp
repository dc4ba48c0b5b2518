/// All nodes of a zone start at once, as after a power loss: they know neither each other nor what
/// the store holds, and callers are waiting.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/membership/membership.h"
#include "tests/store_relay/relay_zone.h"
#include "tests/support/property.h"

namespace cypresswall::store_relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RelayZone;
using testing::ScriptedCopy;
using testing::ScriptedStore;

/// Each node reads the list locally, and it is empty.
class EmptyMachineList final : public object_store::MachineList {
 public:
  void fetch(const common::ZoneName&, object_store::MachineListCallback) override {}
  bool isLocal() const override { return true; }
};

/// Nodes with real membership that start at random times within `kSpread`.
class StartingZone {
 public:
  static constexpr common::Duration kSpread = milliseconds(300);

  /// \param late_seeds the seeds start last
  StartingZone(int count, std::uint64_t seed, bool late_seeds) : count_(count), simulation_(seed) {
    store.put("engine", "1");
    simulation_.network().setDefaults({.delay = milliseconds(3), .jitter = milliseconds(1)}, {});
    std::vector<std::pair<common::Duration, int>> starts;
    for (int number = 0; number < count; ++number) {
      const bool late = late_seeds && number < kSeeds;
      const auto random = common::Duration(static_cast<std::int64_t>(
          simulation_.random().below(static_cast<std::uint64_t>(kSpread.count()))));
      starts.emplace_back(late ? kSpread : random, number);
    }
    std::sort(starts.begin(), starts.end());
    for (const auto& [at, number] : starts) {
      simulation_.time().runUntil(common::MonotonicTime(at));
      start(number);
    }
  }

  /// \return time until the last node has the objects, counted from the start of the last node
  common::Duration timeUntilAllHaveCopies() {
    const auto begin = simulation_.time().now();
    while (std::any_of(copies_.begin(), copies_.end(),
                       [](const ScriptedCopy* copy) { return copy->revision() == 0; }) &&
           simulation_.time().now() - begin < seconds(10)) {
      simulation_.time().runFor(milliseconds(10));
    }
    return simulation_.time().now() - begin;
  }

  ScriptedStore store;

 private:
  static constexpr int kSeeds = 3;

  void start(int number) {
    auto& process = simulation_.start(RelayZone::addressOf(number), testing::kZone);
    membership::MembershipSettings settings;
    settings.machine = "machine-" + std::to_string(number);
    settings.link_megabits = 10;
    for (int index = 0; index < std::min(kSeeds, count_); ++index) {
      settings.seeds.push_back(RelayZone::addressOf(index));
    }
    auto& members = process.emplace<membership::Membership>(settings, process.context(), machines_);
    auto& relay = process.emplace<StoreRelay>(StoreRelaySettings{}, process.context(), members,
                                              process.emplace<StoreIncarnation>(process.context()));
    auto& copy = process.emplace<ScriptedCopy>(store, process, relay);
    copies_.push_back(&copy);
    members.start();
    relay.follow(testing::kTopic, copy);
    relay.start();
  }

  int count_;
  simulation::Simulation simulation_;
  EmptyMachineList machines_;
  std::vector<ScriptedCopy*> copies_;
};

class ZoneStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneStartTest);
  CPPUNIT_TEST(nodesThatStartTogetherHaveCopiesSoon);
  CPPUNIT_TEST(lossOfTheAskedNodeIsNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Load: callers of a zone of which all nodes lost power are refused until the nodes know the
  /// declared services.
  void nodesThatStartTogetherHaveCopiesSoon() {
    for (const bool late_seeds : {false, true}) {
      for (const int count : {1, 13, 66, 300}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
          StartingZone zone(count, seed, late_seeds);
          const auto time = zone.timeUntilAllHaveCopies();
          const std::string message = std::to_string(count) +
                                      " nodes: " + std::to_string(time.count()) + " us, " +
                                      std::to_string(zone.store.calls) + " calls";
          CPPUNIT_ASSERT_MESSAGE(message, time <= kTimeLimit);
          CPPUNIT_ASSERT_MESSAGE(message, zone.store.calls <= kCallLimit);
        }
      }
    }
  }

  /// Failure: the node that a starting peer has asked for a copy ends before it has one itself.
  void lossOfTheAskedNodeIsNoticed() {
    constexpr int kNodes = 60;
    RelayZone zone(kNodes, 3);
    zone.store.put("a", "1");
    for (int number = 0; number < kNodes; ++number) {
      zone.restart(number);
    }
    zone.run(milliseconds(2));
    for (int number = 0; number < kNodes; number += 2) {
      zone.simulation.kill(*zone.nodes[static_cast<std::size_t>(number)].process);
    }
    zone.showMembers();
    zone.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, zone.nodesBehind());
  }

 private:
  /// Two rounds of join requests; a caller that is refused for so long can still be served by a
  /// retry.
  static constexpr common::Duration kTimeLimit = milliseconds(500);
  static constexpr std::uint64_t kCallLimit = 60;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneStartTest);

}  // namespace
}  // namespace cypresswall::store_relay
