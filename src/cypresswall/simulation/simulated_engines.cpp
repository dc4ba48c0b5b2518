#include "cypresswall/simulation/simulated_engines.h"

#include <utility>

#include "cypresswall/simulation/simulated_stream.h"

namespace cypresswall::simulation {

SimulatedEngines::SimulatedEngines(Simulation& simulation, emulation::WeightSource* weights)
    : simulation_(simulation), random_(simulation.deriveSeed("engines")), weights_(weights) {}

emulation::EmulatedEngine& SimulatedEngines::add(const common::Address& address,
                                                 const common::ZoneName& zone,
                                                 emulation::EngineSettings settings) {
  zones_[address] = zone;
  auto& time = simulation_.time();
  auto& engine = engines_[address];
  engine = std::make_unique<emulation::EmulatedEngine>(std::move(settings), time, time, random_,
                                                       weights_, &kv_peer_);
  return *engine;
}

emulation::EmulatedEngine* SimulatedEngines::find(const common::Address& address) const {
  const auto found = engines_.find(address);
  return found == engines_.end() ? nullptr : found->second.get();
}

NetworkEndpoint SimulatedEngines::endpointOf(const common::Address& address) const {
  const auto zone = zones_.find(address);
  return {address, zone == zones_.end() ? common::ZoneName{} : zone->second};
}

void SimulatedEngines::crash(const common::Address& address) {
  emulation::EmulatedEngine* engine = find(address);
  if (engine == nullptr || engine->down()) {
    return;
  }
  simulation_.faults().add(engine->currentLoad().state == engines::EngineState::kChanging
                               ? FaultKind::kEngineCrashInChange
                               : FaultKind::kEngineCrash);
  engine->crash();
}

void SimulatedEngines::KvDirectory::fetchKv(
    const common::Address& source, const std::string& stream_id,
    std::function<void(std::optional<emulation::KvExport>)> callback) {
  const auto zone = engines_.endpointOf(source).zone;
  const auto delay = engines_.simulation_.network().drawDelay(zone, zone);
  engines_.simulation_.time().schedule(
      delay, [&engines = engines_, source, stream_id, callback = std::move(callback)] {
        emulation::EmulatedEngine* engine = engines.find(source);
        callback(engine == nullptr ? std::nullopt : engine->exportKv(stream_id));
      });
}

SimulatedEngineClient::SimulatedEngineClient(Simulation& simulation, SimulatedProcess& process,
                                             SimulatedEngines& engines,
                                             EngineClientSettings settings)
    : simulation_(simulation), process_(process), engines_(engines), settings_(settings) {}

std::unique_ptr<engines::Stream> SimulatedEngineClient::startStream(
    const engines::EngineEndpoint& engine, engines::StreamRequest request,
    engines::StreamHandler& handler) {
  const ExternalPath path(simulation_, process_, engines_.endpointOf(engine.address));
  return SimulatedStream::start(
      path, engines_, engine.address, std::move(request), handler,
      [this, name = engine.name](const auto& announcement) { announce(name, announcement); },
      connectionReporter(engine.address), settings_.break_detection_time);
}

template <typename Answer, typename Question>
void SimulatedEngineClient::ask(const engines::EngineEndpoint& engine, const CallFaults& faults,
                                common::Duration time_limit, Question question,
                                engines::EngineCallback<Answer> callback) {
  const ExternalPath path(simulation_, process_, engines_.endpointOf(engine.address));
  auto effect = [&engines = engines_, address = engine.address,
                 question = std::move(question)](typename ExternalCall<Answer>::Reply reply) {
    emulation::EmulatedEngine* found = engines.find(address);
    reply(found == nullptr ? std::nullopt : question(*found));
  };
  auto done = [this, engine, callback = std::move(callback)](CallResult result,
                                                             std::optional<Answer> answer) {
    if (result != CallResult::kUnknown) {
      connectionReporter(engine.address)(result == CallResult::kAnswered);
    }
    if (result == CallResult::kAnswered) {
      const emulation::EmulatedEngine* const found = engines_.find(engine.address);
      announce(engine.name, {found != nullptr && found->faults().leaving, {}});
      callback(std::move(*answer));
      return;
    }
    const bool sent = result == CallResult::kUnknown;
    callback(common::Failure<engines::EngineFailure>{
        sent ? engines::EngineFailure::kUnknownOutcome : engines::EngineFailure::kUnavailable,
        sent ? "no answer" : "not reached"});
  };
  ExternalCall<Answer>::start(path, faults, time_limit, std::move(effect), std::move(done));
}

void SimulatedEngineClient::sendOrder(const engines::EngineEndpoint& engine,
                                      const engines::EngineOrder& order,
                                      engines::EngineCallback<engines::OrderReply> callback) {
  ask<engines::OrderReply>(
      engine, engines_.faults.orders, settings_.order_time_limit,
      [order](emulation::EmulatedEngine& found) { return found.handleOrder(order); },
      std::move(callback));
}

void SimulatedEngineClient::fetchLoad(const engines::EngineEndpoint& engine,
                                      engines::EngineCallback<engines::EngineLoad> callback) {
  ask<engines::EngineLoad>(
      engine, engines_.faults.reports, settings_.report_time_limit,
      [](const emulation::EmulatedEngine& found) { return found.load(); }, std::move(callback));
}

void SimulatedEngineClient::fetchCacheEvents(
    const engines::EngineEndpoint& engine, std::uint64_t after,
    engines::EngineCallback<engines::CacheEvents> callback) {
  ask<engines::CacheEvents>(
      engine, engines_.faults.reports, settings_.report_time_limit,
      [after](const emulation::EmulatedEngine& found) { return found.cacheEvents(after); },
      std::move(callback));
}

}  // namespace cypresswall::simulation
