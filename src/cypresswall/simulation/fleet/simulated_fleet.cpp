#include "cypresswall/simulation/fleet/simulated_fleet.h"

#include <algorithm>
#include <utility>

#include "cypresswall/emulation/answer.h"
#include "cypresswall/simulation/simulated_connections.h"

namespace cypresswall::simulation {
namespace {

constexpr common::Duration kBringUpLimit = std::chrono::seconds(60);
constexpr common::Duration kLargestClockOffset = std::chrono::hours(24);
/// Wall-clock time at the start of the simulation.
constexpr common::Duration kSimulationStart = std::chrono::hours(500'000);

}  // namespace

SimulatedFleet::SimulatedFleet(std::uint64_t seed, FleetSettings settings)
    : settings_(std::move(settings)),
      simulation_(seed, settings_.network),
      platform_(simulation_, settings_.platform),
      engines_(simulation_),
      services_(simulation_) {
  addOutside();
  for (std::uint32_t zone = 0; zone < settings_.topology.zones; ++zone) {
    for (std::uint32_t node = 0; node < settings_.topology.nodes_per_zone; ++node) {
      slots_.push_back(NodeSlot{.zone = zone, .number = node});
      addMachine(zone, nodeMachine(zone, node), nodeAddress(zone, node));
    }
  }
}

void SimulatedFleet::addMachine(std::uint32_t zone, const common::MachineName& name,
                                const common::Address& address) {
  platform_.machines().setWithoutLag(
      {name, zoneName(zone), object_store::MachineState::kLive, {ipOf(address)}});
}

void SimulatedFleet::addOutside() {
  for (std::uint32_t zone = 0; zone < settings_.topology.zones; ++zone) {
    for (std::uint32_t number = 0; number < settings_.topology.engines_per_zone; ++number) {
      emulation::EngineSettings engine = settings_.engine;
      engine.name = engineName(zone, number);
      engine.model = kModelName;
      engine.version = kModelVersion;
      if (settings_.engine_build) {
        engine.build = settings_.engine_build(number);
      }
      engine.incarnation = simulation_.deriveSeed(engine.name) >> 1U;
      engines_.add(engineAddress(zone, number), zoneName(zone), std::move(engine));
      addMachine(zone, engineMachine(zone, number), engineAddress(zone, number));
    }
    for (std::uint32_t number = 0; number < settings_.topology.backends_per_zone; ++number) {
      services_.add(backendAddress(zone, number), zoneName(zone), kHttpServiceName,
                    settings_.service_answer_time);
      addMachine(zone, backendMachine(zone, number), backendAddress(zone, number));
    }
  }
}

std::vector<common::Address> SimulatedFleet::zoneAddresses(std::uint32_t zone) const {
  std::vector<common::Address> addresses;
  for (const NodeSlot& slot : slots_) {
    if (slot.zone == zone) {
      addresses.push_back(nodeAddress(zone, slot.number, slot.generation));
    }
  }
  return addresses;
}

node::NodeSettings SimulatedFleet::nodeSettings(const NodeSlot& slot) const {
  node::NodeSettings settings = settings_.node;
  settings.membership.machine = nodeMachine(slot.zone, slot.number, slot.generation);
  settings.membership.gateway_address =
      ipOf(nodeAddress(slot.zone, slot.number, slot.generation)) + ":8000";
  settings.membership.region = "region-1";
  settings.membership.seeds = zoneAddresses(slot.zone);
  settings.membership.other_zones.clear();
  for (std::uint32_t zone = 0; zone < settings_.topology.zones; ++zone) {
    if (zone != slot.zone) {
      settings.membership.other_zones.push_back({zoneName(zone), "region-1", zoneAddresses(zone)});
    }
  }
  return settings;
}

ClockSettings SimulatedFleet::drawClock() {
  const auto range = static_cast<std::uint64_t>(2 * settings_.maximum_drift_ppm + 1);
  ClockSettings clock;
  clock.drift_ppm =
      static_cast<std::int64_t>(simulation_.random().below(range)) - settings_.maximum_drift_ppm;
  clock.offset = common::Duration(simulation_.random().below(kLargestClockOffset.count()));
  return clock;
}

void SimulatedFleet::startNode(std::size_t index) {
  NodeSlot& slot = slots_[index];
  if (slot.process != nullptr) {
    slot.restart_wanted = slot.node->draining();
    return;
  }
  slot.restart_wanted = false;
  const auto address = nodeAddress(slot.zone, slot.number, slot.generation);
  SimulatedProcess& process =
      simulation_.start(address, zoneName(slot.zone), drawClock(), settings_.log);
  auto& store = process.emplace<SimulatedObjectStore>(simulation_, process, platform_);
  auto& machines = process.emplace<SimulatedMachineList>(simulation_, process, platform_);
  auto& engines = process.emplace<SimulatedEngineClient>(simulation_, process, engines_);
  auto& services = process.emplace<SimulatedServiceClient>(simulation_, process, services_);
  auto& connections =
      process.emplace<SimulatedServerConnections>(simulation_, process, engines_, services_);
  auto* const declared =
      settings_.declaration_of ? &settings_.declaration_of(process, store) : settings_.declared;
  node::NodeClients clients{store, machines, engines, services, declared};
  clients.connections = &connections;
  clients.time_of_day = [this] { return kSimulationStart + time().now().time_since_epoch(); };
  slot.process = &process;
  slot.node = &process.emplace<node::Node>(nodeSettings(slot), process.context(), clients);
  slot.connections = &process.emplace<CallerConnections>(simulation_, process);
  process.deliver([node = slot.node] { node->start(); });
}

void SimulatedFleet::killNode(std::size_t index) {
  NodeSlot& slot = slots_[index];
  if (slot.process == nullptr) {
    return;
  }
  simulation_.kill(*slot.process);
  clear(slot);
}

void SimulatedFleet::clear(NodeSlot& slot) {
  slot.process = nullptr;
  slot.node = nullptr;
  slot.connections = nullptr;
}

void SimulatedFleet::stopNode(std::size_t index) {
  NodeSlot& slot = slots_[index];
  if (slot.process == nullptr) {
    return;
  }
  faults().add(FaultKind::kPlannedStop);
  SimulatedProcess* process = slot.process;
  process->deliver([this, index, process, node = slot.node] {
    node->beginStop([this, index, process] {
      process->kill();
      clear(slots_[index]);
      if (slots_[index].restart_wanted) {
        time().schedule(common::Duration{0}, [this, index] { startNode(index); });
      }
    });
  });
}

void SimulatedFleet::pauseNode(std::size_t index, common::Duration duration) {
  if (running(index)) {
    simulation_.pauseFor(*slots_[index].process, duration);
  }
}

void SimulatedFleet::replaceNode(std::size_t index) {
  NodeSlot& slot = slots_[index];
  if (slot.process != nullptr) {
    return;
  }
  const auto old_machine = nodeMachine(slot.zone, slot.number, slot.generation);
  platform_.setMachineState(old_machine, object_store::MachineState::kGone);
  ++slot.generation;
  addMachine(slot.zone, nodeMachine(slot.zone, slot.number, slot.generation),
             nodeAddress(slot.zone, slot.number, slot.generation));
  startNode(index);
}

void SimulatedFleet::isolateNode(std::size_t index) {
  const NodeSlot& slot = slots_[index];
  const auto address = nodeAddress(slot.zone, slot.number, slot.generation);
  for (const auto& other : zoneAddresses(slot.zone)) {
    if (other != address) {
      simulation_.network().cutAddresses(address, other);
      simulation_.network().cutAddresses(other, address);
    }
  }
}

void SimulatedFleet::cutNodeFromPlatform(std::size_t index) {
  const NodeSlot& slot = slots_[index];
  const auto node = nodeAddress(slot.zone, slot.number, slot.generation);
  const auto platform = SimulatedPlatform::place().address;
  simulation_.network().cutAddresses(node, platform);
  simulation_.network().cutAddresses(platform, node);
}

void SimulatedFleet::cutNodeFromServers(std::size_t index) {
  const NodeSlot& slot = slots_[index];
  const auto node = nodeAddress(slot.zone, slot.number, slot.generation);
  const auto cut = [&](const common::Address& server) {
    simulation_.network().cutAddresses(node, server);
    simulation_.network().cutAddresses(server, node);
  };
  for (const auto& [address, engine] : engines_.all()) {
    cut(address);
  }
  for (const auto& [address, service] : services_.all()) {
    cut(address);
  }
}

bool SimulatedFleet::everyNodeHasVersion(std::uint64_t version) const {
  return std::all_of(slots_.begin(), slots_.end(), [version](const NodeSlot& slot) {
    return slot.node == nullptr || slot.node->configurationView().current()->version >= version;
  });
}

void SimulatedFleet::bringUp() {
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    startNode(index);
  }
  const auto ready = [this] {
    return std::all_of(slots_.begin(), slots_.end(),
                       [](const NodeSlot& slot) { return slot.node->ready(); });
  };
  if (!time().runUntilTrue(ready, kBringUpLimit)) {
    throw FleetError("the nodes did not become ready within the time limit");
  }
  // Gives the zones time to discover each other: a change is submitted for approval only to zones
  // that the node knows.
  time().runFor(std::chrono::seconds(5));
  if (settings_.declared == nullptr) {
    declareFleet();
  }
}

void SimulatedFleet::declareFleet() {
  configuration::CommitResult result;
  bool answered = false;
  submit(0, {declarations(settings_.topology), "declarations", "fleet", std::nullopt, false},
         [&](configuration::CommitResult given) {
           result = std::move(given);
           answered = true;
         });
  time().runUntilTrue([&] { return answered; }, kBringUpLimit);
  if (!answered || result.status != configuration::CommitStatus::kAccepted) {
    throw FleetError(std::string("the declarations were not accepted: ") +
                     configuration::toString(result.status) + " " + result.message);
  }
  if (!time().runUntilTrue([&] { return everyNodeHasVersion(result.version); }, kBringUpLimit)) {
    throw FleetError("the declarations did not reach every node");
  }
}

CallerRecord& SimulatedFleet::newRecord(const char* kind) {
  CallerRecord& record = records_.emplace_back();
  record.request_id = std::string(kind) + "-" + std::to_string(records_.size());
  record.asked_at = time().now();
  return record;
}

CallerRecord& SimulatedFleet::sendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                               std::uint32_t maximum_tokens) {
  const auto content = simulation_.deriveSeed("prompt", records_.size() + 1);
  return resendModelRequest(index, prompt_tokens, maximum_tokens, content);
}

CallerRecord& SimulatedFleet::resendModelRequest(std::size_t index, std::uint32_t prompt_tokens,
                                                 std::uint32_t maximum_tokens,
                                                 std::uint64_t content) {
  return callModel(index, prompt_tokens, maximum_tokens, content, {});
}

CallerRecord& SimulatedFleet::sendPromptOfParts(std::size_t index, std::uint32_t prompt_tokens,
                                                std::uint32_t maximum_tokens,
                                                std::vector<common::PieceHash> parts) {
  const auto content = simulation_.deriveSeed("prompt", records_.size() + 1);
  return callModel(index, prompt_tokens, maximum_tokens, content, std::move(parts));
}

CallerRecord& SimulatedFleet::callModel(std::size_t index, std::uint32_t prompt_tokens,
                                        std::uint32_t maximum_tokens, std::uint64_t content,
                                        std::vector<common::PieceHash> parts) {
  CallerRecord& record = newRecord("model");
  record.content_hash = content;
  record.parts = std::move(parts);
  record.prompt_tokens = prompt_tokens;
  record.maximum_tokens = maximum_tokens;
  startModelCall(index, record);
  return record;
}

CallerRecord& SimulatedFleet::takeUpAnswer(std::size_t index, const CallerRecord& begun) {
  CallerRecord& record = newRecord("model");
  record.began_as = begun.began_as.empty() ? begun.request_id : begun.began_as;
  record.content_hash = begun.content_hash;
  record.parts = begun.parts;
  record.prompt_tokens = begun.prompt_tokens;
  record.maximum_tokens = begun.maximum_tokens;
  startModelCall(index, record);
  return record;
}

void SimulatedFleet::startModelCall(std::size_t index, CallerRecord& record) {
  const NodeSlot& slot = slots_[index];
  if (slot.process == nullptr) {
    record.result = CallerResult::kNotConnected;
    return;
  }
  slot.connections->registerRequest(record);
  slot.process->deliver([connections = slot.connections, node = slot.node, &record] {
    connections->startModelCall(node->modelExecutor(), record);
  });
}

CallerRecord& SimulatedFleet::callService(std::size_t index, const char* kind,
                                          execution::ServiceCallRequest request) {
  CallerRecord& record = newRecord(kind);
  record.key = request.idempotency_key;
  request.request_id = record.request_id;
  request.service = kHttpServiceName;
  const NodeSlot& slot = slots_[index];
  if (slot.process == nullptr) {
    record.result = CallerResult::kNotConnected;
    return record;
  }
  slot.connections->registerRequest(record);
  slot.process->deliver([connections = slot.connections, node = slot.node, &record, request] {
    connections->startServiceCall(node->serviceExecutor(), record, request);
  });
  return record;
}

CallerRecord& SimulatedFleet::book(std::size_t index, const std::string& key) {
  execution::ServiceCallRequest request;
  request.method = "POST";
  request.target = kOncePath;
  // A key identifies one booking, so all requests with the same key must have the same body.
  request.body = key;
  request.idempotency_key = key;
  return callService(index, "booking", std::move(request));
}

CallerRecord& SimulatedFleet::poll(std::size_t index) {
  execution::ServiceCallRequest request;
  request.method = "GET";
  request.target = kRepeatablePath;
  return callService(index, "poll", std::move(request));
}

void SimulatedFleet::submit(std::size_t index, configuration::ConfigurationChangeRequest request,
                            configuration::CommitCallback callback) {
  const NodeSlot& slot = slots_[index];
  if (slot.process == nullptr) {
    return;
  }
  slot.process->deliver(
      [node = slot.node, request = std::move(request), callback = std::move(callback)] {
        node->configuration().submit(request, callback);
      });
}

std::size_t SimulatedFleet::openRequests() const {
  return std::count_if(records_.begin(), records_.end(), [](const CallerRecord& record) {
    return record.result == CallerResult::kOpen;
  });
}

std::string SimulatedFleet::expectedAnswer(const CallerRecord& record) {
  const auto seed = emulation::answerSeed(kModelName, kModelVersion, "", record.content_hash);
  return emulation::expectedAnswer(seed, record.maximum_tokens);
}

}  // namespace cypresswall::simulation
