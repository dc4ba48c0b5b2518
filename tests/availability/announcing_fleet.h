/// One zone of whole nodes in virtual time whose engines and back ends announce in their answers
/// that they leave or want a pause. The platform's declaration of the fleet never changes, as if
/// its store were unavailable: the answers are all that nodes learn.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

/// When requests reached one server, and which node sent them.
using Arrivals = std::vector<std::pair<common::MonotonicTime, common::NodeId>>;

struct AnnouncingFleetScenario {
  std::uint32_t nodes = 7;
  std::uint32_t engines = 12;
  std::uint32_t backends = 4;
  common::Duration between_requests = std::chrono::milliseconds(7);
};

class AnnouncingFleet {
 public:
  explicit AnnouncingFleet(std::uint64_t seed, const AnnouncingFleetScenario& scenario = {})
      : scenario_(scenario) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = scenario.nodes;
    settings.topology.engines_per_zone = scenario.engines;
    settings.topology.backends_per_zone = scenario.backends;
    settings.declared = &declared_;
    declare(settings.topology);
    fleet_ = std::make_unique<simulation::SimulatedFleet>(seed, settings);
    fleet_->bringUp();
  }

  simulation::SimulatedFleet& simulated() { return *fleet_; }
  common::MonotonicTime now() { return fleet_->time().now(); }

  /// Sends each request through a random running node; every third goes to the plain HTTP service.
  void sendRequests(common::Duration duration) {
    for (common::Duration spent{0}; spent < duration; spent += scenario_.between_requests) {
      const auto node = fleet_->simulation().random().below(scenario_.nodes);
      if (fleet_->running(node)) {
        if (number_++ % 3 == 0) {
          fleet_->poll(node);
        } else {
          fleet_->sendModelRequest(node, 300, 4);
        }
      }
      fleet_->time().runFor(scenario_.between_requests);
    }
  }

  template <typename Change>
  void changeEngine(std::uint32_t number, Change change) {
    auto& engine = *fleet_->engines().find(simulation::engineAddress(0, number));
    auto faults = engine.faults();
    change(faults);
    engine.setFaults(faults);
  }
  template <typename Change>
  void changeBackend(std::uint32_t number, Change change) {
    auto& backend = *fleet_->services().find(simulation::backendAddress(0, number));
    auto faults = backend.faults();
    change(faults);
    backend.setFaults(faults);
  }

  Arrivals arrivalsAtEngine(std::uint32_t number) {
    return fleet_->engines().arrivals(simulation::engineAddress(0, number));
  }
  Arrivals arrivalsAtBackend(std::uint32_t number) {
    const auto address = simulation::backendAddress(0, number);
    Arrivals arrivals;
    for (std::size_t i = 0; i < fleet_->services().arrivals(address).size(); ++i) {
      arrivals.emplace_back(fleet_->services().arrivals(address)[i],
                            fleet_->services().senders(address)[i]);
    }
    return arrivals;
  }

  /// \return requests that ended well, in percent of those sent at `from` or later that ended
  std::size_t answeredPercent(common::MonotonicTime from) const {
    std::size_t answered = 0;
    std::size_t ended = 0;
    for (const simulation::CallerRecord& record : fleet_->records()) {
      if (record.asked_at >= from && record.result != simulation::CallerResult::kOpen) {
        ++ended;
        answered += record.result == simulation::CallerResult::kDone ? 1 : 0;
      }
    }
    return ended == 0 ? 0 : answered * 100 / ended;
  }

 private:
  void declare(const simulation::FleetTopology& topology) {
    constexpr std::uint64_t kVersion = 41;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(topology);
    declared_.set(configuration::applyChange({}, change));
  }

  AnnouncingFleetScenario scenario_;
  configuration::StaticConfigurationView declared_;
  std::unique_ptr<simulation::SimulatedFleet> fleet_;
  std::uint64_t number_ = 0;
};

/// Requests that one node sent to a server after the server's first answer to it since `from`.
/// \param answer_time time after which the node surely has the answer to its first request
/// \return by node: the times of its later requests, counted from the arrival of the first
inline std::map<std::string, std::vector<common::Duration>> afterFirstAnswer(
    const Arrivals& arrivals, common::MonotonicTime from) {
  std::map<std::string, common::MonotonicTime> first;
  std::map<std::string, std::vector<common::Duration>> later;
  for (const auto& [time, node] : arrivals) {
    if (time < from) {
      continue;
    }
    const auto [told, is_first] = first.emplace(node.toString(), time);
    if (!is_first) {
      later[told->first].push_back(time - told->second);
    }
  }
  return later;
}

}  // namespace cypresswall::testing
