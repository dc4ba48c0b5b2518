/// Probes of connections from a simulated process to engines and back ends.
#pragma once

#include "cypresswall/api/server_connections.h"
#include "cypresswall/simulation/simulated_engines.h"
#include "cypresswall/simulation/simulated_services.h"

namespace cypresswall::simulation {

class SimulatedServerConnections final : public api::ServerConnections {
 public:
  /// Time after which a connection across a cut link counts as not established.
  static constexpr common::Duration kConnectTimeLimit = std::chrono::milliseconds(300);

  /// \pre all references outlive this object
  SimulatedServerConnections(Simulation& simulation, SimulatedProcess& process,
                             SimulatedEngines& engines, SimulatedServices& services)
      : simulation_(simulation), process_(process), engines_(engines), services_(services) {}

  void probe(const common::Address& address, ProbeCallback callback) override;

 private:
  Simulation& simulation_;
  SimulatedProcess& process_;
  SimulatedEngines& engines_;
  SimulatedServices& services_;
};

}  // namespace cypresswall::simulation
