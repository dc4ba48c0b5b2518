/// The retries of a service, summed over all nodes of a fleet, stay within the configured limit.
///
/// Guards against a burst that is a constant of each process and full at its start: 66 nodes then
/// held 330 retries where the fleet was allowed 172, and again after a restart. With little traffic
/// and most engines failing most requests, 66 nodes exceeded the limit by 54 retries in ten
/// seconds, and by 227 if all nodes restarted meanwhile. 7 nodes, whose bursts add up to less than
/// the limit, stayed within it.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/settings/settings_loader.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"
#include "tests/support/settings_template.h"

namespace cypresswall::fleet_limits {
namespace {

using simulation::CallerRecord;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVersion = 41;
/// Retries allowed in each window: this share of the requests, plus the allowed burst.
constexpr double kAllowedShare = 0.2;
constexpr common::Duration kWindow = seconds(10);
/// Time from the start of the nodes until they get traffic.
constexpr common::Duration kWarmUp = seconds(14);

/// Size of the fleet, its traffic and its faults.
struct Scenario {
  std::uint32_t nodes = 66;
  std::uint32_t engines = 57;
  std::uint32_t allowed_burst = 172;
  int requests_per_second = 54;
  bool restarts = true;
};

/// Settings from the deployed template, for a fleet with these limits.
node::NodeSettings deployedSettings(const Scenario& scenario) {
  const testing::TemplateValues values = {
      {"listen_addrs.control", "10.1.0.1:7000"},
      {"listen_addrs.front", "10.1.0.1:8000"},
      {"listen_addrs.readiness", "10.1.0.1:8001"},
      {"region", "region-1"},
      {"node_name", "node-1"},
      {"limits.link_mbps", "10"},
      {"seeds", "10.1.0.1:7000"},
      {"platform.address", "10.9.0.1:8142"},
      {"bounds.budget_ratio", "0.2"},
      {"bounds.budget_window_s", "10"},
      {"bounds.budget_slack", std::to_string(scenario.allowed_burst)}};
  const auto text = testing::SettingsTemplate::fromFile(std::string(CYPRESSWALL_SOURCE_DIR) +
                                                        "/deploy/settings.template")
                        .filled(values);
  return settings::makeSettings(settings::readSettingsText(text, "settings")).node;
}

class Fleet {
 public:
  Fleet(std::uint64_t seed, const Scenario& scenario) : scenario_(scenario) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = scenario.nodes;
    settings.topology.engines_per_zone = scenario.engines;
    settings.declared = &declared_;
    const node::NodeSettings deployed = deployedSettings(scenario);
    settings.node.execution = deployed.execution;
    settings.node.retries = deployed.retries;
    settings.node.local_share = deployed.local_share;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings.topology);
    declared_.set(configuration::applyChange({}, change));
    fleet_ = std::make_unique<SimulatedFleet>(seed, settings);
    fleet_->bringUp();
    fleet_->time().runFor(kWarmUp);
  }

  void sendRequests(common::Duration duration) {
    const common::Duration step = common::Duration(seconds(1)) / scenario_.requests_per_second;
    for (common::Duration spent{0}; spent < duration; spent += step) {
      fleet_->sendModelRequest(fleet_->simulation().random().below(scenario_.nodes), 300, 2);
      fleet_->time().runFor(step);
    }
  }
  /// Makes four of five engines fail four of five requests.
  void makeEnginesFail() {
    std::uint32_t number = 0;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      emulation::EngineFaults faults;
      faults.failures_per_ten_streams = number++ % 5 == 0 ? 0 : 8;
      engine->setFaults(faults);
    }
  }
  void restartAll() {
    for (std::size_t node = 0; node < scenario_.nodes; ++node) {
      fleet_->killNode(node);
      fleet_->startNode(node);
    }
  }

  /// \return the largest excess of retries over the allowed number in any window
  double worstExcess() const {
    const std::vector<common::MonotonicTime> retries = retryTimes();
    double worst = -static_cast<double>(scenario_.allowed_burst);
    for (std::size_t first = 0; first < retries.size(); ++first) {
      const auto end = retries[first] + kWindow;
      const auto beyond = std::lower_bound(retries.begin(), retries.end(), end);
      const auto count = static_cast<double>(beyond - retries.begin()) - static_cast<double>(first);
      worst = std::max(worst, count - allowedFrom(retries[first]));
    }
    return worst;
  }
  std::size_t retries() const { return retryTimes().size(); }

 private:
  /// \return the times of all arrivals at engines except the first one of each request
  std::vector<common::MonotonicTime> retryTimes() const {
    std::map<std::string, std::vector<common::MonotonicTime>> arrivals;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      for (const emulation::StreamEntry& stream : engine->ledger().streams) {
        arrivals[stream.stream_id].push_back(stream.started_at);
      }
    }
    std::vector<common::MonotonicTime> retries;
    for (auto& [stream, times] : arrivals) {
      std::sort(times.begin(), times.end());
      retries.insert(retries.end(), times.begin() + 1, times.end());
    }
    std::sort(retries.begin(), retries.end());
    return retries;
  }
  /// \return the retries allowed in the window from `start`, based on the requests of that window,
  ///   of the previous one or of the one half a window earlier, whichever has the most
  double allowedFrom(common::MonotonicTime start) const {
    std::size_t most = 0;
    for (const auto back : {common::Duration{0}, kWindow / 2, kWindow}) {
      const auto from = start - back;
      const auto sent = std::count_if(
          fleet_->records().begin(), fleet_->records().end(), [&](const CallerRecord& record) {
            return record.asked_at >= from && record.asked_at < from + kWindow;
          });
      most = std::max(most, static_cast<std::size_t>(sent));
    }
    return kAllowedShare * static_cast<double>(most) + scenario_.allowed_burst;
  }

  Scenario scenario_;
  configuration::StaticConfigurationView declared_;
  std::unique_ptr<SimulatedFleet> fleet_;
};

class FleetRetriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRetriesTest);
  CPPUNIT_TEST(staysWithinLimitWhenAllNodesRestart);
  CPPUNIT_TEST(staysWithinLimitWithoutRestart);
  CPPUNIT_TEST(staysWithinLimitOnFewNodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void staysWithinLimitWhenAllNodesRestart() { requireWithinLimit(Scenario{}); }
  void staysWithinLimitWithoutRestart() {
    Scenario scenario;
    scenario.restarts = false;
    requireWithinLimit(scenario);
  }
  void staysWithinLimitOnFewNodes() {
    Scenario scenario;
    scenario.nodes = 7;
    scenario.engines = 12;
    scenario.allowed_burst = 54;
    requireWithinLimit(scenario);
  }

 private:
  static void requireWithinLimit(const Scenario& scenario) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, scenario);
      fleet.sendRequests(seconds(10));
      fleet.makeEnginesFail();
      fleet.sendRequests(seconds(5));
      if (scenario.restarts) {
        fleet.restartAll();
      }
      fleet.sendRequests(seconds(8));
      CPPUNIT_ASSERT_MESSAGE("no request was retried", fleet.retries() > 20);
      CPPUNIT_ASSERT_MESSAGE("retries beyond the limit: " + std::to_string(fleet.worstExcess()) +
                                 ", seed " + std::to_string(seed),
                             fleet.worstExcess() <= 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetriesTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
