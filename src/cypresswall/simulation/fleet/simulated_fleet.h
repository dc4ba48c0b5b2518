/// A whole fleet in virtual time: nodes with the daemon's real deciding modules, emulated engines,
/// services and platform, and callers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/node/node.h"
#include "cypresswall/simulation/fleet/fleet_topology.h"
#include "cypresswall/simulation/fleet/simulated_callers.h"
#include "cypresswall/simulation/simulated_engines.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "cypresswall/simulation/simulated_services.h"

namespace cypresswall::simulation {

/// A fleet that does not come up within its bound.
class FleetError : public common::Error {
 public:
  using common::Error::Error;
};

struct FleetSettings {
  FleetTopology topology;
  NetworkSettings network;
  /// Addresses, machine and seeds are filled in for each node.
  node::NodeSettings node;
  /// Names and model are filled in for each engine.
  emulation::EngineSettings engine;
  /// Clocks of the processes run fast or slow by up to this.
  std::int64_t maximum_drift_ppm = 200;
  common::Duration service_answer_time = std::chrono::milliseconds(5);
  common::LogSink* log = nullptr;
  /// Set if the platform declares the fleet; it must hold `topology` before bringUp().
  configuration::ConfigurationView* declared = nullptr;
};

/// One place for a node; processes come and go in it.
struct NodeSlot {
  std::uint32_t zone = 0;
  std::uint32_t number = 0;
  /// Counts replacements under a new address.
  std::uint32_t generation = 0;
  /// Null while no process runs.
  SimulatedProcess* process = nullptr;
  node::Node* node = nullptr;
  CallerConnection* front = nullptr;
  /// Start again once the planned stop under way has ended.
  bool restart_wanted = false;
};

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, FleetSettings settings);

  /// Starts all nodes, waits until they are ready and puts the declarations in force.
  /// \throws FleetError if that takes longer than a minute
  void bringUp();

  Simulation& simulation() { return simulation_; }
  VirtualTime& time() { return simulation_.time(); }
  FaultCounters& faults() { return simulation_.faults(); }
  SimulatedPlatform& platform() { return platform_; }
  SimulatedEngines& engines() { return engines_; }
  SimulatedServices& services() { return services_; }
  const FleetSettings& settings() const { return settings_; }

  std::size_t nodeCount() const { return slots_.size(); }
  const NodeSlot& slot(std::size_t index) const { return slots_[index]; }
  /// \return true if a process runs in the slot; it may be paused.
  bool running(std::size_t index) const { return slots_[index].process != nullptr; }
  void startNode(std::size_t index);
  /// Kills the process in a slot, if there is one.
  void killNode(std::size_t index);
  /// Begins a planned stop; the process ends by itself when nothing runs on it any more.
  void stopNode(std::size_t index);
  void pauseNode(std::size_t index, common::Duration duration);
  /// Starts a process in an empty slot on a new machine with a new address; the machine of the
  /// earlier one is shown as gone.
  void replaceNode(std::size_t index);
  /// Cuts one node off from all others of its zone, both ways.
  void isolateNode(std::size_t index);

  /// Sends a model request to a node.
  /// \return its record, valid as long as the fleet
  CallerRecord& sendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                 std::uint32_t maximum_tokens);
  /// The same for a request that its caller has sent before, under another identifier.
  /// \param content hash of the prompt's text, by which nodes and engines know the request again
  CallerRecord& resendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                   std::uint32_t maximum_tokens, std::uint64_t content);
  /// Sends a booking, which may run at most once, to a node.
  /// \param key idempotency key, empty for none
  CallerRecord& book(std::size_t index, const std::string& key);
  /// Sends a poll, which may be repeated, to a node.
  CallerRecord& poll(std::size_t index);
  /// Submits a change of the configuration at a node.
  /// \param callback not called if the process dies first
  void submit(std::size_t index, configuration::ConfigurationChangeRequest request,
              configuration::CommitCallback callback);

  const std::deque<CallerRecord>& records() const { return records_; }
  /// \return number of requests without an end.
  std::size_t openRequests() const;
  /// \return the whole answer that `record` should get.
  static std::string expectedAnswer(const CallerRecord& record);
  /// \return true if every running node has at least this version in force.
  bool everyNodeHasVersion(std::uint64_t version) const;

 private:
  node::NodeSettings nodeSettings(const NodeSlot& slot) const;
  void declareFleet();
  std::vector<common::Address> zoneAddresses(std::uint32_t zone) const;
  void addMachine(std::uint32_t zone, const common::MachineName& name,
                  const common::Address& address);
  void addOutside();
  CallerRecord& newRecord(const char* kind);
  CallerRecord& callService(std::size_t index, const char* kind,
                            execution::ServiceCallRequest request);
  void clear(NodeSlot& slot);
  ClockSettings drawClock();

  FleetSettings settings_;
  // Callers write their records until the simulation has ended their processes.
  std::deque<CallerRecord> records_;
  std::vector<NodeSlot> slots_;
  Simulation simulation_;
  SimulatedPlatform platform_;
  SimulatedEngines engines_;
  SimulatedServices services_;
};

}  // namespace cypresswall::simulation
