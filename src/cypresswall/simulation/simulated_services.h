/// Emulated HTTP back ends of a simulated run, and the client through which the daemon processes
/// call the back ends.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/emulation/service.h"
#include "cypresswall/services/service_client.h"
#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

/// All emulated back ends, by address. They belong to no process, and their clock is the run's true
/// time.
class SimulatedServices {
 public:
  explicit SimulatedServices(Simulation& simulation) : simulation_(simulation) {}

  emulation::EmulatedService& add(const common::Address& address, const common::ZoneName& zone,
                                  const std::string& name, common::Duration answer_time);
  /// \return null if no back end has the address.
  emulation::EmulatedService* find(const common::Address& address) const;
  NetworkEndpoint endpointOf(const common::Address& address) const;
  /// \return how often all back ends together executed calls with the idempotency key `key`.
  std::uint32_t executionsOfKey(const std::string& key) const;
  /// \return how often all back ends together executed calls of the request `request_id`.
  std::uint32_t executionsOfRequest(const std::string& request_id) const;
  const std::map<common::Address, std::unique_ptr<emulation::EmulatedService>>& all() const {
    return services_;
  }
  /// Records that a call of a node reached a back end.
  void arrived(const common::Address& address, const common::NodeId& sender) {
    arrivals_[address].push_back(simulation_.time().now());
    senders_[address].push_back(sender);
  }
  /// \return times at which calls reached the back end, including refused and broken ones
  const std::vector<common::MonotonicTime>& arrivals(const common::Address& address) {
    return arrivals_[address];
  }
  /// \return the nodes that made the calls, in the order of arrivals()
  const std::vector<common::NodeId>& senders(const common::Address& address) {
    return senders_[address];
  }

  CallFaults faults;

 private:
  Simulation& simulation_;
  std::map<common::Address, common::ZoneName> zones_;
  std::map<common::Address, std::vector<common::MonotonicTime>> arrivals_;
  std::map<common::Address, std::vector<common::NodeId>> senders_;
  std::map<common::Address, std::unique_ptr<emulation::EmulatedService>> services_;
};

/// The client through which one process calls back ends.
class SimulatedServiceClient final : public services::ServiceClient {
 public:
  SimulatedServiceClient(Simulation& simulation, SimulatedProcess& process,
                         SimulatedServices& services);
  std::unique_ptr<services::ServiceCall> call(
      const common::ServerIdentity& server, services::ServiceRequest request,
      std::function<void(services::ServiceResponse)> callback) override;

 private:
  Simulation& simulation_;
  SimulatedProcess& process_;
  SimulatedServices& services_;
};

}  // namespace cypresswall::simulation
