/// Emulated engines of a simulated run, and the client through which the daemon processes call the
/// engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

/// Faults of calls to engines.
struct EngineCallFaults {
  CallFaults orders;
  CallFaults reports;
  /// Fraction of streams, from 0 to 1, that the engine starts although the connection breaks
  /// immediately.
  double stream_start_broken = 0;
};

/// All emulated engines, by address. They belong to no process, and their clock is the run's true
/// time.
class SimulatedEngines {
 public:
  explicit SimulatedEngines(Simulation& simulation, emulation::WeightSource* weights = nullptr);

  emulation::EmulatedEngine& add(const common::Address& address, const common::ZoneName& zone,
                                 emulation::EngineSettings settings);
  /// \return null if no engine has the address.
  emulation::EmulatedEngine* find(const common::Address& address) const;
  NetworkEndpoint endpointOf(const common::Address& address) const;
  /// Crashes an engine and counts the fault.
  void crash(const common::Address& address);
  const std::map<common::Address, std::unique_ptr<emulation::EmulatedEngine>>& all() const {
    return engines_;
  }

  /// Keeps a stream's connection alive until release(). Called while an engine has a non-owning
  /// reference to the connection.
  void retain(const std::shared_ptr<void>& connection) { retained_[connection.get()] = connection; }
  void release(const void* connection) { retained_.erase(connection); }

  /// Records that a stream request of a node reached an engine.
  void arrived(const common::Address& address, const common::NodeId& sender) {
    arrivals_[address].emplace_back(simulation_.time().now(), sender);
  }
  /// \return times at which stream requests reached the engine, and the nodes that sent them,
  ///   including refused ones
  const std::vector<std::pair<common::MonotonicTime, common::NodeId>>& arrivals(
      const common::Address& address) {
    return arrivals_[address];
  }

  EngineCallFaults faults;

 private:
  /// Transfers KV cache between engines.
  class KvDirectory final : public emulation::KvPeer {
   public:
    explicit KvDirectory(SimulatedEngines& engines) : engines_(engines) {}
    void fetchKv(const common::Address& source, const std::string& stream_id,
                 std::function<void(std::optional<emulation::KvExport>)> callback) override;

   private:
    SimulatedEngines& engines_;
  };

  Simulation& simulation_;
  common::SeededRandom random_;
  emulation::WeightSource* weights_;
  KvDirectory kv_peer_{*this};
  std::map<common::Address, common::ZoneName> zones_;
  std::map<common::Address, std::vector<std::pair<common::MonotonicTime, common::NodeId>>>
      arrivals_;
  /// Connections kept alive by retain(). Declared before the engines, which reference the
  /// connections, and so destroyed after them.
  std::map<const void*, std::shared_ptr<void>> retained_;
  std::map<common::Address, std::unique_ptr<emulation::EmulatedEngine>> engines_;
};

/// Time limits of the client, with the same defaults as those of the daemon's HTTP client.
struct EngineClientSettings {
  common::Duration order_time_limit = std::chrono::seconds(2);
  common::Duration report_time_limit = std::chrono::seconds(1);
  /// Time after which both ends of a stream detect that its connection is broken.
  common::Duration break_detection_time = std::chrono::seconds(3);
};

/// The client through which one process calls engines.
class SimulatedEngineClient final : public engines::EngineClient {
 public:
  SimulatedEngineClient(Simulation& simulation, SimulatedProcess& process,
                        SimulatedEngines& engines, EngineClientSettings settings = {});

  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint& engine,
                                               engines::StreamRequest request,
                                               engines::StreamHandler& handler) override;
  void sendOrder(const engines::EngineEndpoint& engine, const engines::EngineOrder& order,
                 engines::EngineCallback<engines::OrderReply> callback) override;
  void fetchLoad(const engines::EngineEndpoint& engine,
                 engines::EngineCallback<engines::EngineLoad> callback) override;
  void fetchCacheEvents(const engines::EngineEndpoint& engine, std::uint64_t after,
                        engines::EngineCallback<engines::CacheEvents> callback) override;

 private:
  template <typename Answer, typename Question>
  void ask(const engines::EngineEndpoint& engine, const CallFaults& faults,
           common::Duration time_limit, Question question,
           engines::EngineCallback<Answer> callback);

  Simulation& simulation_;
  SimulatedProcess& process_;
  SimulatedEngines& engines_;
  EngineClientSettings settings_;
};

}  // namespace cypresswall::simulation
