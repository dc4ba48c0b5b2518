/// HTTP back ends of a simulated run, by address, and the client through which the daemon processes
/// call them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/emulation/service.h"
#include "cypresswall/services/service_client.h"
#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

/// All back ends; not part of any process, and run on true time.
class SimulatedServices {
 public:
  explicit SimulatedServices(Simulation& simulation) : simulation_(simulation) {}

  emulation::EmulatedService& add(const common::Address& address, const common::ZoneName& zone,
                                  const std::string& name, common::Duration answer_time);
  /// \return null if no back end has the address.
  emulation::EmulatedService* find(const common::Address& address) const;
  NetworkEndpoint endpointOf(const common::Address& address) const;
  /// \return number of executions of calls with `key`, over all back ends.
  std::uint32_t executionsOfKey(const std::string& key) const;
  /// \return number of executions of calls of `request_id`, over all back ends.
  std::uint32_t executionsOfRequest(const std::string& request_id) const;
  const std::map<common::Address, std::unique_ptr<emulation::EmulatedService>>& all() const {
    return services_;
  }
  /// Records that a call reached a back end.
  void arrived(const common::Address& address) {
    arrivals_[address].push_back(simulation_.time().now());
  }
  /// \return times at which calls reached the back end, including refused and broken ones
  const std::vector<common::MonotonicTime>& arrivals(const common::Address& address) {
    return arrivals_[address];
  }

  CallFaults faults;

 private:
  Simulation& simulation_;
  std::map<common::Address, common::ZoneName> zones_;
  std::map<common::Address, std::vector<common::MonotonicTime>> arrivals_;
  std::map<common::Address, std::unique_ptr<emulation::EmulatedService>> services_;
};

/// The client of one process.
class SimulatedServiceClient final : public services::ServiceClient {
 public:
  SimulatedServiceClient(Simulation& simulation, SimulatedProcess& process,
                         SimulatedServices& services);
  std::unique_ptr<services::ServiceCall> call(
      const common::Address& address, services::ServiceRequest request,
      std::function<void(services::ServiceResponse)> callback) override;

 private:
  Simulation& simulation_;
  SimulatedProcess& process_;
  SimulatedServices& services_;
};

}  // namespace cypresswall::simulation
