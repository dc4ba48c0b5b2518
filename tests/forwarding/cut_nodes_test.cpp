/// Guards against an incident in which nodes that had lost their links to all engines and back ends
/// served none of their callers, although callers and peers still reached them. The other nodes,
/// told by the cut ones that the engines could not be reached, refused three quarters of theirs.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::forwarding {
namespace {

using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVersion = 41;
constexpr std::uint32_t kNodes = 9;
constexpr std::uint32_t kEngines = 18;
constexpr std::uint32_t kBackends = 3;
constexpr std::uint32_t kPromptTokens = 300;
constexpr std::uint32_t kAnswerTokens = 6;
/// The fleet has this long to notice a cut; later first tries count.
constexpr common::Duration kTimeToNotice = seconds(3);
constexpr common::Duration kCutTime = seconds(12);
/// Share of the callers of nodes that are not cut that must be served throughout: their engines are
/// sound and idle.
constexpr double kServedElsewhere = 0.98;
/// Callers of cut nodes must be served at least this fraction as often as those of the others.
constexpr double kServedWhenCut = 2.0 / 3;
/// An answer to a request that nobody can serve must not be held back.
constexpr common::Duration kRefusalTime = milliseconds(300);

/// How the links between a node and the engines and back ends are cut.
enum class CutKind : std::uint8_t { kBothWays, kRequestsOnly, kAnswersOnly };

/// Share of a group's requests that were served.
struct Served {
  std::size_t done = 0;
  std::size_t all = 0;

  double share() const {
    return all == 0 ? 1.0 : static_cast<double>(done) / static_cast<double>(all);
  }
  std::string text() const { return std::to_string(done) + " of " + std::to_string(all); }
};

class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = kNodes;
    settings.topology.engines_per_zone = kEngines;
    settings.topology.backends_per_zone = kBackends;
    settings.declared = &declared_;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings.topology);
    declared_.set(configuration::applyChange({}, change));
    fleet_ = std::make_unique<SimulatedFleet>(seed, settings);
    fleet_->bringUp();
  }

  /// Cuts the first `count` nodes off from all engines and back ends.
  void cutFirst(std::size_t count, CutKind kind = CutKind::kBothWays) {
    cut_nodes_ = count;
    auto& network = fleet_->simulation().network();
    for (std::size_t index = 0; index < count; ++index) {
      const auto node = simulation::nodeAddress(0, static_cast<std::uint32_t>(index));
      for (const auto& server : servers()) {
        if (kind != CutKind::kAnswersOnly) {
          network.cutAddresses(node, server);
        }
        if (kind != CutKind::kRequestsOnly) {
          network.cutAddresses(server, node);
        }
      }
    }
  }
  /// Cuts each engine off from all nodes but a third of them.
  void cutEnginesFromTwoThirds() {
    auto& network = fleet_->simulation().network();
    for (std::uint32_t engine = 0; engine < kEngines; ++engine) {
      for (std::uint32_t node = 0; node < kNodes; ++node) {
        if (node % 3 != engine % 3) {
          network.cutAddresses(simulation::nodeAddress(0, node),
                               simulation::engineAddress(0, engine));
          network.cutAddresses(simulation::engineAddress(0, engine),
                               simulation::nodeAddress(0, node));
        }
      }
    }
  }
  /// \return the number of engines that may get work from the node
  std::size_t availableEngines(std::size_t node) const {
    const auto records = fleet_->slot(node).node->engines().records();
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const routing::EngineRecord& record) {
          return record.availability == routing::EngineAvailability::kAvailable;
        }));
  }
  void heal() { fleet_->simulation().network().healAll(); }

  /// Sends model requests and polls of the plain service to each node in turn.
  void sendRequests(common::Duration duration) {
    constexpr common::Duration kStep = milliseconds(8);
    constexpr std::size_t kPollInterval = 3;
    for (common::Duration spent{0}; spent < duration; spent += kStep) {
      const std::size_t node = sent_ % kNodes;
      if (sent_++ / kNodes % kPollInterval == 0) {
        fleet_->poll(node);
      } else {
        fleet_->sendModelRequest(node, kPromptTokens, kAnswerTokens);
      }
      fleet_->time().runFor(kStep);
    }
  }
  SimulatedFleet& fleet() { return *fleet_; }
  common::MonotonicTime now() { return fleet_->time().now(); }

  /// \return how many requests that were sent since `since` were served at the cut nodes, or at
  ///   the others
  Served servedSince(common::MonotonicTime since, bool at_cut_nodes) const {
    Served served;
    for (const CallerRecord& record : fleet_->records()) {
      const bool open = record.result == CallerResult::kOpen;
      if (record.asked_at < since || open || isCut(record.node) != at_cut_nodes) {
        continue;
      }
      ++served.all;
      served.done += record.result == CallerResult::kDone ? 1 : 0;
    }
    return served;
  }

 private:
  std::vector<common::Address> servers() const {
    std::vector<common::Address> addresses;
    for (std::uint32_t number = 0; number < kEngines; ++number) {
      addresses.push_back(simulation::engineAddress(0, number));
    }
    for (std::uint32_t number = 0; number < kBackends; ++number) {
      addresses.push_back(simulation::backendAddress(0, number));
    }
    return addresses;
  }
  bool isCut(const common::NodeId& node) const {
    for (std::size_t index = 0; index < cut_nodes_; ++index) {
      if (node.address == simulation::nodeAddress(0, static_cast<std::uint32_t>(index))) {
        return true;
      }
    }
    return false;
  }

  configuration::StaticConfigurationView declared_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::size_t cut_nodes_ = 0;
  std::size_t sent_ = 0;
};

class CutNodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutNodesTest);
  CPPUNIT_TEST(oneCutNodeServesItsCallers);
  CPPUNIT_TEST(thirdOfNodesCut);
  CPPUNIT_TEST(mostNodesCut);
  CPPUNIT_TEST(requestsLost);
  CPPUNIT_TEST(answersLost);
  CPPUNIT_TEST(flappingCut);
  CPPUNIT_TEST(nodeRestartedWhileCut);
  CPPUNIT_TEST(serversNobodyReachesAreRefusedAtOnce);
  CPPUNIT_TEST(othersKeepAllEngines);
  CPPUNIT_TEST(enginesCutOffFromMostNodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void oneCutNodeServesItsCallers() { requireServed(1, CutKind::kBothWays); }
  void thirdOfNodesCut() { requireServed(3, CutKind::kBothWays); }
  void mostNodesCut() { requireServed(6, CutKind::kBothWays); }
  void requestsLost() { requireServed(3, CutKind::kRequestsOnly); }
  void answersLost() { requireServed(3, CutKind::kAnswersOnly); }

  /// The links fail and return each second.
  void flappingCut() {
    Fleet fleet(1);
    fleet.sendRequests(seconds(2));
    const auto start = fleet.now();
    for (int turn = 0; turn < 6; ++turn) {
      fleet.cutFirst(3);
      fleet.sendRequests(seconds(1));
      fleet.heal();
      fleet.sendRequests(seconds(1));
    }
    requireShares(fleet, start + kTimeToNotice, ", flapping");
  }

  void nodeRestartedWhileCut() {
    Fleet fleet(1);
    fleet.sendRequests(seconds(2));
    fleet.cutFirst(3);
    fleet.sendRequests(seconds(4));
    fleet.fleet().killNode(0);
    fleet.fleet().startNode(0);
    fleet.sendRequests(kTimeToNotice);
    const auto noticed = fleet.now();
    fleet.sendRequests(seconds(6));
    requireShares(fleet, noticed, ", restarted");
  }

  void serversNobodyReachesAreRefusedAtOnce() {
    Fleet fleet(1);
    fleet.sendRequests(seconds(2));
    fleet.cutFirst(kNodes);
    fleet.sendRequests(kTimeToNotice);
    const auto noticed = fleet.now();
    fleet.sendRequests(seconds(6));
    fleet.fleet().time().runFor(seconds(3));
    for (const CallerRecord& record : fleet.fleet().records()) {
      if (record.asked_at < noticed) {
        continue;
      }
      CPPUNIT_ASSERT(record.result == CallerResult::kError);
      CPPUNIT_ASSERT_MESSAGE(
          record.request_id + " was answered after " +
              std::to_string(common::toSeconds(record.ended_at - record.asked_at)) + " s",
          record.ended_at - record.asked_at <= kRefusalTime);
    }
  }

  /// What cut nodes say about engines must not take the engines from the other nodes.
  void othersKeepAllEngines() {
    for (const std::size_t cut : {1, 3, 6}) {
      Fleet fleet(1);
      fleet.sendRequests(seconds(2));
      fleet.cutFirst(cut);
      fleet.sendRequests(kTimeToNotice);
      for (int sample = 0; sample < 40; ++sample) {
        fleet.sendRequests(milliseconds(250));
        for (std::size_t node = cut; node < kNodes; ++node) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(cut) + " cut, node " + std::to_string(node),
                                       std::size_t{kEngines}, fleet.availableEngines(node));
        }
      }
    }
  }

  /// Each engine is cut off from two thirds of the nodes, but each node reaches a third of them.
  void enginesCutOffFromMostNodes() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed);
      fleet.sendRequests(seconds(2));
      fleet.cutEnginesFromTwoThirds();
      fleet.sendRequests(kTimeToNotice);
      const auto noticed = fleet.now();
      fleet.sendRequests(seconds(9));
      const Served served = fleet.servedSince(noticed, false);
      CPPUNIT_ASSERT_MESSAGE("served " + served.text() + ", seed " + std::to_string(seed),
                             served.share() >= kServedElsewhere);
    }
  }

 private:
  static void requireServed(std::size_t cut, CutKind kind) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed);
      fleet.sendRequests(seconds(2));
      const auto start = fleet.now();
      fleet.cutFirst(cut, kind);
      fleet.sendRequests(kCutTime);
      const std::string at = ", seed " + std::to_string(seed);
      requireShares(fleet, start + kTimeToNotice, at);
      const auto healed = fleet.now();
      fleet.heal();
      fleet.sendRequests(seconds(6));
      requireShares(fleet, healed + kTimeToNotice, at + ", healed");
    }
  }
  static void requireShares(const Fleet& fleet, common::MonotonicTime since,
                            const std::string& at) {
    const Served cut = fleet.servedSince(since, true);
    const Served others = fleet.servedSince(since, false);
    const std::string figures =
        "served at cut nodes " + cut.text() + ", at the others " + others.text() + at;
    CPPUNIT_ASSERT_MESSAGE(figures, others.share() >= kServedElsewhere);
    CPPUNIT_ASSERT_MESSAGE(figures, cut.share() >= kServedWhenCut * others.share());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutNodesTest);

}  // namespace
}  // namespace cypresswall::forwarding
