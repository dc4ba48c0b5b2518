/// Engines and back ends that name a rate limit get no more requests than that from all nodes
/// together.
///
/// Guards against limits that are ignored, or that each node enforces for itself, which exceeds
/// them by a factor of the number of nodes. Before limits were enforced, engines with limits of 5.2
/// and 1.3 requests per second got 74 and 19 requests in 4 s from the 9 nodes of their zone.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::fleet_limits {
namespace {

using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVersion = 41;
/// In any span of this length a server may get 1.5 times the requests that its limit allows,
/// plus 5.
constexpr common::Duration kSpan = seconds(4);
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedExtra = 5;
/// Time after a server first names its limit from which on spans are checked.
constexpr common::Duration kEnforcementDelay = seconds(3);
/// Minimum share of the limit that must be used while demand exceeds it.
constexpr double kUsedShare = 0.6;

struct Scenario {
  std::uint32_t nodes = 9;
  std::uint32_t engines = 18;
  std::uint32_t backends = 3;
  common::Duration between_requests = milliseconds(7);
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, const Scenario& scenario) : scenario_(scenario) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = scenario.nodes;
    settings.topology.engines_per_zone = scenario.engines;
    settings.topology.backends_per_zone = scenario.backends;
    settings.declared = &declared_;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings.topology);
    declared_.set(configuration::applyChange({}, change));
    fleet_ = std::make_unique<SimulatedFleet>(seed, settings);
    fleet_->bringUp();
  }

  SimulatedFleet& simulated() { return *fleet_; }
  common::MonotonicTime now() { return fleet_->time().now(); }

  /// Sends each request through a random running node; every tenth goes to the plain HTTP service.
  void sendRequests(common::Duration duration) {
    for (common::Duration spent{0}; spent < duration; spent += scenario_.between_requests) {
      const auto node = fleet_->simulation().random().below(scenario_.nodes);
      if (fleet_->running(node)) {
        if (number_++ % 10 == 0) {
          fleet_->poll(node);
        } else {
          fleet_->sendModelRequest(node, 300, 4);
        }
      }
      fleet_->time().runFor(scenario_.between_requests);
    }
  }
  void limitEngine(std::uint32_t number, std::optional<double> limit) {
    auto& engine = *fleet_->engines().find(simulation::engineAddress(0, number));
    auto faults = engine.faults();
    faults.rate_limit = limit;
    engine.setFaults(faults);
  }
  void limitBackend(std::uint32_t number, std::optional<double> limit) {
    auto& backend = *fleet_->services().find(simulation::backendAddress(0, number));
    auto faults = backend.faults();
    faults.rate_limit = limit;
    backend.setFaults(faults);
  }

  std::vector<common::MonotonicTime> arrivalsAtEngine(std::uint32_t number) {
    std::vector<common::MonotonicTime> times;
    const auto& engine = *fleet_->engines().find(simulation::engineAddress(0, number));
    for (const emulation::StreamEntry& stream : engine.ledger().streams) {
      times.push_back(stream.started_at);
    }
    return times;
  }
  std::vector<common::MonotonicTime> arrivalsAtBackend(std::uint32_t number) {
    return fleet_->services().arrivals(simulation::backendAddress(0, number));
  }
  std::size_t answeredPercent(common::MonotonicTime from) const {
    std::size_t answered = 0;
    std::size_t ended = 0;
    for (const CallerRecord& record : fleet_->records()) {
      if (record.asked_at >= from && record.result != CallerResult::kOpen) {
        ++ended;
        answered += record.result == CallerResult::kDone ? 1 : 0;
      }
    }
    return ended == 0 ? 0 : answered * 100 / ended;
  }

 private:
  Scenario scenario_;
  configuration::StaticConfigurationView declared_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::uint64_t number_ = 0;
};

/// \return the largest number of arrivals in any span that begins at `from` or later
std::size_t maximumInSpan(const std::vector<common::MonotonicTime>& arrivals,
                          common::MonotonicTime from) {
  std::size_t worst = 0;
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
       first != arrivals.end(); ++first) {
    const auto end = std::lower_bound(first, arrivals.end(), *first + kSpan);
    worst = std::max(worst, static_cast<std::size_t>(end - first));
  }
  return worst;
}

std::size_t countFrom(const std::vector<common::MonotonicTime>& arrivals,
                      common::MonotonicTime from) {
  return static_cast<std::size_t>(arrivals.end() -
                                  std::lower_bound(arrivals.begin(), arrivals.end(), from));
}

double allowedInSpan(double limit) {
  return kAllowedShare * limit * common::toSeconds(kSpan) + kAllowedExtra;
}

void requireWithinLimit(const std::string& server, double limit,
                        const std::vector<common::MonotonicTime>& arrivals,
                        common::MonotonicTime named_at, std::uint64_t seed) {
  const std::size_t worst = maximumInSpan(arrivals, named_at + kEnforcementDelay);
  CPPUNIT_ASSERT_MESSAGE(server + " with a limit of " + std::to_string(limit) + " a second got " +
                             std::to_string(worst) + " requests in 4 s, seed " +
                             std::to_string(seed),
                         static_cast<double>(worst) <= allowedInSpan(limit));
}

class EngineRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineRateLimitsTest);
  CPPUNIT_TEST(engineLimitsAreEnforcedAcrossFleet);
  CPPUNIT_TEST(backendLimitsAreEnforcedAcrossFleet);
  CPPUNIT_TEST(limitsAreEnforcedInLargeZone);
  CPPUNIT_TEST(limitsAreEnforcedWhenNodesRestart);
  CPPUNIT_TEST(limitsOfAllEnginesAreEnforced);
  CPPUNIT_TEST(engineGetsTrafficBackWhenLimitEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void engineLimitsAreEnforcedAcrossFleet() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, Scenario{});
      fleet.sendRequests(seconds(4));
      const auto named_at = fleet.now();
      fleet.limitEngine(3, 5.5);
      fleet.limitEngine(7, 1.2);
      fleet.limitEngine(9, 0);
      fleet.sendRequests(seconds(20));
      requireWithinLimit("engine", 5.5, fleet.arrivalsAtEngine(3), named_at, seed);
      requireWithinLimit("engine", 1.2, fleet.arrivalsAtEngine(7), named_at, seed);
      requireWithinLimit("engine", 0, fleet.arrivalsAtEngine(9), named_at, seed);
      requireUsed(5.5, fleet.arrivalsAtEngine(3), named_at, seconds(20));
      requireUsed(1.2, fleet.arrivalsAtEngine(7), named_at, seconds(20));
      requireAnswered(fleet, named_at, 97);
    }
  }

  void backendLimitsAreEnforcedAcrossFleet() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, Scenario{});
      fleet.sendRequests(seconds(4));
      const auto named_at = fleet.now();
      fleet.limitBackend(1, 1.2);
      fleet.sendRequests(seconds(20));
      requireWithinLimit("back end", 1.2, fleet.arrivalsAtBackend(1), named_at, seed);
      requireUsed(1.2, fleet.arrivalsAtBackend(1), named_at, seconds(20));
      requireAnswered(fleet, named_at, 97);
    }
  }

  void limitsAreEnforcedInLargeZone() {
    Scenario scenario;
    scenario.nodes = 60;
    scenario.engines = 36;
    scenario.between_requests = milliseconds(4);
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      Fleet fleet(seed, scenario);
      fleet.sendRequests(seconds(4));
      const auto named_at = fleet.now();
      fleet.limitEngine(3, 2.5);
      fleet.limitEngine(7, 0.6);
      fleet.limitBackend(0, 1.2);
      fleet.sendRequests(seconds(16));
      requireWithinLimit("engine", 2.5, fleet.arrivalsAtEngine(3), named_at, seed);
      requireWithinLimit("engine", 0.6, fleet.arrivalsAtEngine(7), named_at, seed);
      requireWithinLimit("back end", 1.2, fleet.arrivalsAtBackend(0), named_at, seed);
      requireAnswered(fleet, named_at, 97);
    }
  }

  /// The stopped nodes include keepers, and a node that starts does not know the limits yet.
  void limitsAreEnforcedWhenNodesRestart() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, Scenario{});
      fleet.sendRequests(seconds(4));
      const auto named_at = fleet.now();
      fleet.limitEngine(3, 5.5);
      fleet.limitEngine(7, 1.2);
      fleet.sendRequests(seconds(4));
      for (std::size_t node = 0; node < 6; ++node) {
        fleet.simulated().killNode(node);
        fleet.sendRequests(milliseconds(1500));
        fleet.simulated().startNode(node);
        fleet.sendRequests(milliseconds(1500));
      }
      requireWithinLimit("engine", 5.5, fleet.arrivalsAtEngine(3), named_at, seed);
      requireWithinLimit("engine", 1.2, fleet.arrivalsAtEngine(7), named_at, seed);
    }
  }

  void limitsOfAllEnginesAreEnforced() {
    Scenario scenario;
    scenario.engines = 4;
    scenario.backends = 1;
    scenario.between_requests = milliseconds(20);
    Fleet fleet(1, scenario);
    fleet.sendRequests(seconds(4));
    const auto named_at = fleet.now();
    for (std::uint32_t engine = 0; engine < scenario.engines; ++engine) {
      fleet.limitEngine(engine, 2);
    }
    fleet.limitBackend(0, 1);
    fleet.sendRequests(seconds(20));
    for (std::uint32_t engine = 0; engine < scenario.engines; ++engine) {
      requireWithinLimit("engine", 2, fleet.arrivalsAtEngine(engine), named_at, 1);
      requireUsed(2, fleet.arrivalsAtEngine(engine), named_at, seconds(20));
    }
    requireWithinLimit("back end", 1, fleet.arrivalsAtBackend(0), named_at, 1);
    requireRefusedAtOnce(fleet, named_at + kEnforcementDelay);
  }

  void engineGetsTrafficBackWhenLimitEnds() {
    Fleet fleet(1, Scenario{});
    fleet.sendRequests(seconds(4));
    const auto usual = countFrom(fleet.arrivalsAtEngine(3), fleet.now() - seconds(3));
    fleet.limitEngine(3, 1.2);
    fleet.sendRequests(seconds(8));
    fleet.limitEngine(3, std::nullopt);
    fleet.sendRequests(seconds(8));
    const auto after = countFrom(fleet.arrivalsAtEngine(3), fleet.now() - seconds(3));
    CPPUNIT_ASSERT_MESSAGE("requests in 3 s: " + std::to_string(after) + " after the limit, " +
                               std::to_string(usual) + " before",
                           after * 2 >= usual);
  }

 private:
  static void requireUsed(double limit, const std::vector<common::MonotonicTime>& arrivals,
                          common::MonotonicTime named_at, common::Duration asked_for) {
    const auto from = named_at + kEnforcementDelay;
    const auto arrived = static_cast<double>(countFrom(arrivals, from));
    const double taken = limit * common::toSeconds(asked_for - kEnforcementDelay);
    CPPUNIT_ASSERT_MESSAGE(
        "only " + std::to_string(arrived) + " of " + std::to_string(taken) + " requests were sent",
        arrived >= kUsedShare * taken);
  }
  static void requireAnswered(const Fleet& fleet, common::MonotonicTime from, std::size_t least) {
    const std::size_t answered = fleet.answeredPercent(from);
    CPPUNIT_ASSERT_MESSAGE("percent answered: " + std::to_string(answered), answered >= least);
  }
  /// A request that cannot be sent is refused at once, with outcome kNotRun and a Retry-After time.
  static void requireRefusedAtOnce(Fleet& fleet, common::MonotonicTime from) {
    std::size_t refused = 0;
    for (const CallerRecord& record : fleet.simulated().records()) {
      if (record.asked_at < from || record.result != CallerResult::kError) {
        continue;
      }
      ++refused;
      CPPUNIT_ASSERT(record.error.outcome == execution::Outcome::kNotRun);
      CPPUNIT_ASSERT(record.error.retry_after > common::Duration{0});
      CPPUNIT_ASSERT(record.ended_at - record.asked_at <= milliseconds(500));
    }
    CPPUNIT_ASSERT(refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineRateLimitsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
