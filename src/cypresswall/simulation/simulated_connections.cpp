#include "cypresswall/simulation/simulated_connections.h"

#include <utility>

namespace cypresswall::simulation {

void SimulatedServerConnections::probe(const common::Address& address, ProbeCallback callback) {
  const emulation::EmulatedEngine* const engine = engines_.find(address);
  const ExternalPath path(
      simulation_, process_,
      engine != nullptr ? engines_.endpointOf(address) : services_.endpointOf(address));
  // A connection needs both directions of the link.
  const bool cut = path.requestCut() || path.answerCut();
  const bool listens = engine != nullptr ? !engine->down() : services_.find(address) != nullptr;
  const common::Duration delay = cut ? kConnectTimeLimit : path.requestDelay() + path.answerDelay();
  process_.deliverAfter(delay, [callback = std::move(callback), established = listens && !cut] {
    callback(established);
  });
}

}  // namespace cypresswall::simulation
