/// A complete fleet in virtual time. The nodes run the daemon's real decision modules; engines,
/// services, platform and callers are emulated.
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

/// The fleet did not start within the time limit.
class FleetError : public common::Error {
 public:
  using common::Error::Error;
};

struct FleetSettings {
  FleetTopology topology;
  NetworkSettings network;
  PlatformSettings platform;
  /// Settings of all nodes; the fleet sets addresses, machine and seed nodes for each node.
  node::NodeSettings node;
  /// Settings of all engines; the fleet sets name and model for each engine.
  emulation::EngineSettings engine;
  /// Maximum drift of the processes' clocks, in parts per million fast or slow. The drift of each
  /// clock is random.
  std::int64_t maximum_drift_ppm = 200;
  common::Duration service_answer_time = std::chrono::milliseconds(5);
  common::LogSink* log = nullptr;
  /// \return the software build of an engine; the function may be empty
  std::function<common::BuildName(std::uint32_t engine)> engine_build;
  /// The platform's declaration of the fleet; null if the fleet declares itself by a configuration
  /// change. If set, it must contain the objects of `topology` before bringUp() is called.
  configuration::ConfigurationView* declared = nullptr;
  /// \return the declaration as one node reads it from its store; may be empty if all nodes see
  ///   `declared` as it is
  std::function<configuration::ConfigurationView&(SimulatedProcess& process,
                                                  object_store::ObjectStore& store)>
      declaration_of;
};

/// Place for one node of the topology. At most one process runs in a slot at a time.
struct NodeSlot {
  std::uint32_t zone = 0;
  std::uint32_t number = 0;
  /// Number of times that the node was replaced under a new address.
  std::uint32_t generation = 0;
  /// Null while no process runs.
  SimulatedProcess* process = nullptr;
  node::Node* node = nullptr;
  CallerConnections* connections = nullptr;
  /// True if the node is to be started again once the planned stop in progress has completed.
  bool restart_wanted = false;
};

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, FleetSettings settings);

  /// Starts all nodes, waits until they are ready and applies the declarations.
  /// \throws FleetError if the nodes do not become ready, or the declarations do not reach all of
  ///   them, within a minute
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
  /// Begins a planned stop of a node; its process exits once it has no requests in progress.
  void stopNode(std::size_t index);
  void pauseNode(std::size_t index, common::Duration duration);
  /// Starts a process in an empty slot, on a new machine with a new address. The machine list then
  /// shows the slot's previous machine as gone.
  void replaceNode(std::size_t index);
  /// Cuts the links between one node and all others of its zone, in both directions.
  void isolateNode(std::size_t index);
  /// Cuts the links between one node and all engines and back ends, in both directions.
  void cutNodeFromServers(std::size_t index);
  /// Cuts the links between one node and the platform, in both directions.
  void cutNodeFromPlatform(std::size_t index);

  /// Sends a model request to a node.
  /// \return its record, valid for the lifetime of the fleet
  CallerRecord& sendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                 std::uint32_t maximum_tokens);
  /// Sends a request that its caller has sent before, now with a new identifier.
  /// \param content hash of the prompt's text, by which nodes and engines recognize the repeated
  ///   request
  CallerRecord& resendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                   std::uint32_t maximum_tokens, std::uint64_t content);
  /// Sends a request whose prompt consists of parts of equal length.
  /// \param parts hashes of the parts, the last of which no other request has
  CallerRecord& sendPromptOfParts(std::size_t index, std::uint32_t prompt_tokens,
                                  std::uint32_t maximum_tokens,
                                  std::vector<common::PieceHash> parts);
  /// Has a caller take up the answer that it began to receive with an earlier request.
  CallerRecord& takeUpAnswer(std::size_t index, const CallerRecord& begun);
  /// Sends a booking, which must be executed at most once, to a node.
  /// \param key idempotency key; empty for none
  CallerRecord& book(std::size_t index, const std::string& key);
  /// Sends a poll, which is idempotent, to a node.
  CallerRecord& poll(std::size_t index);
  /// Submits a configuration change at a node.
  /// \param callback not called if the process dies first
  void submit(std::size_t index, configuration::ConfigurationChangeRequest request,
              configuration::CommitCallback callback);

  const std::deque<CallerRecord>& records() const { return records_; }
  /// \return number of requests in progress.
  std::size_t openRequests() const;
  /// \return the complete answer that `record` is expected to receive.
  static std::string expectedAnswer(const CallerRecord& record);
  /// \return true if every running node has applied this or a later configuration version.
  bool everyNodeHasVersion(std::uint64_t version) const;

 private:
  node::NodeSettings nodeSettings(const NodeSlot& slot) const;
  void declareFleet();
  std::vector<common::Address> zoneAddresses(std::uint32_t zone) const;
  void addMachine(std::uint32_t zone, const common::MachineName& name,
                  const common::Address& address);
  void addOutside();
  CallerRecord& newRecord(const char* kind);
  CallerRecord& callModel(std::size_t index, std::uint32_t prompt_tokens,
                          std::uint32_t maximum_tokens, std::uint64_t content,
                          std::vector<common::PieceHash> parts);
  /// Sends the request that `record` describes.
  void startModelCall(std::size_t index, CallerRecord& record);
  CallerRecord& callService(std::size_t index, const char* kind,
                            execution::ServiceCallRequest request);
  void clear(NodeSlot& slot);
  ClockSettings drawClock();

  FleetSettings settings_;
  // Declared before the simulation and so destroyed after it: the processes write to the records
  // until they are destroyed.
  std::deque<CallerRecord> records_;
  std::vector<NodeSlot> slots_;
  Simulation simulation_;
  SimulatedPlatform platform_;
  SimulatedEngines engines_;
  SimulatedServices services_;
};

}  // namespace cypresswall::simulation
