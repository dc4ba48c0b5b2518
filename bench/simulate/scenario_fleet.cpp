#include "bench/simulate/scenario_fleet.h"

#include <algorithm>
#include <utility>

#include "bench/simulate/baseline_routers.h"
#include "cypresswall/configuration/object_codec.h"
#include "cypresswall/configuration/object_kind.h"
#include "cypresswall/planning/baseline_planners.h"

namespace cypresswall::bench {
namespace {

constexpr const char* kModel = "model";
constexpr const char* kVersion = "1";
constexpr const char* kRegion = "region-1";
/// Utilisation at which the threshold planner changes an engine's role.
constexpr double kPlannerThreshold = 0.75;
constexpr common::Duration kStartLimit = std::chrono::seconds(60);
/// Zones must have discovered each other before all of them can approve a change.
constexpr common::Duration kDiscoveryTime = std::chrono::seconds(5);

std::string zoneName(std::uint32_t zone) { return "zone-" + std::to_string(zone + 1); }

std::string ipOf(std::uint32_t kind, std::uint32_t zone, std::uint32_t number) {
  return "10." + std::to_string(kind) + "." + std::to_string(zone + 1) + "." +
         std::to_string(number + 1);
}

std::string nodeIp(std::uint32_t zone, std::uint32_t number) { return ipOf(1, zone, number); }
std::string engineIp(std::uint32_t zone, std::uint32_t number) { return ipOf(2, zone, number); }
common::Address nodeAddress(std::uint32_t zone, std::uint32_t number) {
  return nodeIp(zone, number) + ":7000";
}
common::Address engineAddress(std::uint32_t zone, std::uint32_t number) {
  return engineIp(zone, number) + ":8001";
}
std::string machineName(const char* kind, std::uint32_t zone, std::uint32_t number) {
  return zoneName(zone) + "-" + kind + "-" + std::to_string(number + 1);
}

simulation::NetworkSettings networkOf(const Scenario& scenario) {
  simulation::NetworkSettings network;
  network.between_zones.delay = scenario.fleet.between_zones;
  network.encode_messages = false;
  return network;
}

std::uint32_t draw(const TokenRange& range, common::RandomSource& random) {
  return range.least + static_cast<std::uint32_t>(random.below(range.most - range.least + 1));
}

}  // namespace

/// One request in flight at a node.
class ScenarioFleet::Session final : public execution::ModelCallObserver {
 public:
  Session(ScenarioFleet& fleet, std::uint64_t number, SimulatedRequest& record)
      : fleet_(fleet), number_(number), record_(record) {}

  void start(execution::ModelExecutor& executor, execution::ModelCall call) {
    execution_ = executor.start(std::move(call), *this);
  }

  void onToken(std::uint32_t, const std::string&) override {
    const auto now = timeAtCaller();
    if (record_.tokens == 0) {
      record_.first_token_at = now;
    }
    record_.last_token_at = now;
    ++record_.tokens;
  }
  void onFinished(const engines::StreamUsage&) override { end(RequestStatus::kDone); }
  void onError(const execution::ExecutionError& error) override {
    record_.retry_after = error.retry_after;
    record_.error = std::string(execution::toString(error.outcome)) + ": " + error.message;
    end(error.retry_after > common::Duration{0} && error.outcome == execution::Outcome::kNotRun
            ? RequestStatus::kRefused
            : RequestStatus::kFailed);
  }

 private:
  common::MonotonicTime timeAtCaller() {
    return fleet_.time().now() + fleet_.scenario_.fleet.to_clients;
  }
  void end(RequestStatus how) {
    record_.end = how;
    record_.ended_at = timeAtCaller();
    fleet_.sessionEnded(number_);
  }

  ScenarioFleet& fleet_;
  std::uint64_t number_;
  SimulatedRequest& record_;
  std::unique_ptr<execution::ModelExecution> execution_;
};

ScenarioFleet::ScenarioFleet(const Scenario& scenario, const RolePolicy& policy, std::uint64_t seed)
    : scenario_(scenario),
      policy_(policy),
      simulation_(seed, networkOf(scenario)),
      random_(simulation_.deriveSeed("load")),
      platform_(simulation_),
      engines_(simulation_),
      services_(simulation_),
      declared_(declarations()) {
  addEngines();
}

ScenarioFleet::~ScenarioFleet() = default;

engines::EngineRole ScenarioFleet::initialRole(std::uint32_t number) const {
  if (number < policy_.prefill_engines) {
    return engines::EngineRole::kPrefill;
  }
  return number < policy_.prefill_engines + policy_.decode_engines ? engines::EngineRole::kDecode
                                                                   : engines::EngineRole::kMixed;
}

void ScenarioFleet::addEngines() {
  for (std::uint32_t zone = 0; zone < scenario_.fleet.zones; ++zone) {
    for (std::uint32_t number = 0; number < scenario_.fleet.engines_per_zone; ++number) {
      emulation::EngineSettings engine = scenario_.fleet.engine;
      engine.name = machineName("runner", zone, number);
      engine.model = kModel;
      engine.version = kVersion;
      engine.role = initialRole(number);
      engine.incarnation = 1;
      engine.ledger_limit = 0;
      engines_.add(engineAddress(zone, number), zoneName(zone), std::move(engine));
      platform_.machines().setWithoutLag({machineName("accelerator", zone, number),
                                          zoneName(zone),
                                          object_store::MachineState::kLive,
                                          {engineIp(zone, number)}});
    }
    for (std::uint32_t number = 0; number < scenario_.fleet.nodes_per_zone; ++number) {
      platform_.machines().setWithoutLag({machineName("node", zone, number),
                                          zoneName(zone),
                                          object_store::MachineState::kLive,
                                          {nodeIp(zone, number)}});
    }
  }
}

std::vector<configuration::ObjectChange> ScenarioFleet::declarations() const {
  using configuration::ObjectKind;
  using configuration::setObject;
  std::vector<configuration::ObjectChange> objects;
  const configuration::ModelDeclaration model{kModel, kVersion, "weights://model/1", {}};
  objects.push_back(setObject(ObjectKind::kModel, kModel, model));
  for (std::uint32_t zone = 0; zone < scenario_.fleet.zones; ++zone) {
    const configuration::ZoneDeclaration declared{zoneName(zone), kRegion};
    objects.push_back(setObject(ObjectKind::kZone, declared.name, declared));
    for (std::uint32_t number = 0; number < scenario_.fleet.engines_per_zone; ++number) {
      const configuration::EngineDeclaration engine{machineName("runner", zone, number),
                                                    zoneName(zone),
                                                    machineName("accelerator", zone, number),
                                                    engineAddress(zone, number),
                                                    kModel,
                                                    initialRole(number)};
      objects.push_back(setObject(ObjectKind::kEngine, engine.name, engine));
    }
  }
  for (const ScenarioKind& kind : scenario_.kinds) {
    configuration::ModelServiceDeclaration service;
    service.name = kind.name;
    service.model = kModel;
    service.urgency = kind.urgency;
    service.first_token_limit = kind.first_token_limit;
    service.between_tokens_limit = kind.between_tokens_limit;
    service.maximum_tokens = kind.output_tokens.most;
    objects.push_back(setObject(ObjectKind::kModelService, kind.name, service));
  }
  configuration::PlanningPolicy planning = scenario_.planning;
  planning.automatic_roles = policy_.planner != PlannerKind::kFixed;
  objects.push_back(
      setObject(ObjectKind::kPlanning, std::string(configuration::kPlanningObjectName), planning));
  return objects;
}

std::vector<common::Address> ScenarioFleet::zoneAddresses(std::uint32_t zone) const {
  std::vector<common::Address> addresses;
  for (std::uint32_t number = 0; number < scenario_.fleet.nodes_per_zone; ++number) {
    addresses.push_back(nodeAddress(zone, number));
  }
  return addresses;
}

node::NodeSettings ScenarioFleet::nodeSettings(std::uint32_t zone, std::uint32_t number) {
  node::NodeSettings settings;
  settings.make_planner = [this] { return makePlanner(); };
  if (policy_.router != RouterKind::kCost) {
    settings.make_router = [this](const api::ProcessContext& context,
                                  routing::EngineDirectory& directory) {
      return makeRouter(context, directory);
    };
  }
  settings.membership.machine = machineName("node", zone, number);
  settings.membership.gateway_address = nodeIp(zone, number) + ":8000";
  settings.membership.region = kRegion;
  settings.membership.seeds = zoneAddresses(zone);
  for (std::uint32_t other = 0; other < scenario_.fleet.zones; ++other) {
    if (other != zone) {
      settings.membership.other_zones.push_back({zoneName(other), kRegion, zoneAddresses(other)});
    }
  }
  return settings;
}

void ScenarioFleet::startNode(std::uint32_t zone, std::uint32_t number) {
  simulation::SimulatedProcess& process =
      simulation_.start(nodeAddress(zone, number), zoneName(zone));
  auto& store = process.emplace<simulation::SimulatedObjectStore>(simulation_, process, platform_);
  auto& machines =
      process.emplace<simulation::SimulatedMachineList>(simulation_, process, platform_);
  auto& engines =
      process.emplace<simulation::SimulatedEngineClient>(simulation_, process, engines_);
  auto& services =
      process.emplace<simulation::SimulatedServiceClient>(simulation_, process, services_);
  const node::NodeClients clients{store, machines, engines, services};
  auto& node = process.emplace<node::Node>(nodeSettings(zone, number), process.context(), clients);
  nodes_.push_back({&process, &node});
  process.deliver([&node] { node.start(); });
}

std::unique_ptr<planning::Planner> ScenarioFleet::makePlanner() {
  if (policy_.planner == PlannerKind::kThreshold) {
    return std::make_unique<planning::ThresholdPlanner>(planning::CapacitySettings{},
                                                        kPlannerThreshold);
  }
  if (policy_.planner == PlannerKind::kScheduled) {
    return std::make_unique<ScheduledPlanner>(policy_.schedule, load_start_, time());
  }
  return nullptr;
}

std::unique_ptr<routing::Router> ScenarioFleet::makeRouter(
    const api::ProcessContext& context, routing::EngineDirectory& directory) const {
  if (policy_.router == RouterKind::kRoundRobin) {
    return std::make_unique<RoundRobinRouter>(directory);
  }
  return std::make_unique<LeastLoadedRouter>(context, directory);
}

void ScenarioFleet::bringUp() {
  for (std::uint32_t zone = 0; zone < scenario_.fleet.zones; ++zone) {
    for (std::uint32_t number = 0; number < scenario_.fleet.nodes_per_zone; ++number) {
      startNode(zone, number);
    }
  }
  const auto all = [this](const auto& condition) {
    return std::all_of(nodes_.begin(), nodes_.end(), condition);
  };
  const auto ready = [](const FleetNode& node) { return node.node->ready(); };
  if (!time().runUntilTrue([&] { return all(ready); }, kStartLimit)) {
    throw FleetStartError("the nodes did not become ready");
  }
  time().runFor(kDiscoveryTime);
  configuration::CommitResult result;
  bool answered = false;
  configuration::ConfigurationChangeRequest request;
  request.objects = declared_;
  request.change_id = "scenario";
  request.author = "bench";
  nodes_[0].process->deliver([&] {
    nodes_[0].node->configuration().submit(request, [&](configuration::CommitResult given) {
      result = std::move(given);
      answered = true;
    });
  });
  time().runUntilTrue([&] { return answered; }, kStartLimit);
  if (!answered || result.status != configuration::CommitStatus::kAccepted) {
    throw FleetStartError("the declarations were not accepted: " + result.message);
  }
  const auto in_force = [](const FleetNode& node) {
    return node.node->configuration().current()->version > 0;
  };
  if (!time().runUntilTrue([&] { return all(in_force); }, kStartLimit)) {
    throw FleetStartError("the declarations did not reach every node");
  }
  // Wait until every node has a load report of every engine.
  time().runFor(kDiscoveryTime);
}

common::PromptShape ScenarioFleet::drawPrompt(const ScenarioKind& kind) {
  common::PromptShape shape;
  shape.tokens = draw(kind.prompt_tokens, random_);
  shape.content_hash = random_.next();
  const std::uint32_t pieces = shape.tokens / common::kTokensPerCachePiece;
  const std::uint64_t group = random_.below(kind.prefix_groups);
  for (std::uint32_t piece = 0; piece < pieces; ++piece) {
    const bool shared = kind.prefix_groups > 0 && piece < kind.prefix_pieces;
    const std::uint64_t seed = shared ? group : shape.content_hash;
    shape.pieces.push_back(common::hash64(kind.name + std::to_string(piece), seed));
  }
  return shape;
}

void ScenarioFleet::sendRequest(std::size_t kind) {
  const ScenarioKind& asked = scenario_.kinds[kind];
  SimulatedRequest& record = records_.emplace_back();
  record.kind = kind;
  record.asked_at = time().now();
  record.expected_tokens = draw(asked.output_tokens, random_);
  execution::ModelCall call;
  call.request_id = "ask-" + std::to_string(records_.size());
  call.tenant = "default";
  call.service = asked.name;
  call.maximum_tokens = record.expected_tokens;
  call.shape = drawPrompt(asked);
  const FleetNode& node = nodes_[random_.below(nodes_.size())];
  const std::uint64_t number = next_session_++;
  node.process->deliverAfter(
      scenario_.fleet.to_clients,
      [this, number, &record, executor = &node.node->modelExecutor(), call = std::move(call)] {
        auto& session = sessions_[number];
        session = std::make_unique<Session>(*this, number, record);
        session->start(*executor, call);
      });
}

void ScenarioFleet::sessionEnded(std::uint64_t session) {
  // Deferred: the executor is still inside a callback of the session.
  time().schedule(common::Duration{0}, [this, session] { sessions_.erase(session); });
}

void ScenarioFleet::changeAllEngines(const std::function<void(emulation::EngineFaults&)>& change) {
  for (const auto& [address, engine] : engines_.all()) {
    emulation::EngineFaults faults = engine->faults();
    change(faults);
    engine->setFaults(faults);
  }
}

void ScenarioFleet::beginFault(const ScenarioFault& fault) {
  switch (fault.kind) {
    case ScenarioFaultKind::kEngineCrash: {
      const auto number = static_cast<std::uint32_t>(fault.value);
      const std::uint32_t per_zone = scenario_.fleet.engines_per_zone;
      engines_.crash(engineAddress(number / per_zone % scenario_.fleet.zones, number % per_zone));
      return;
    }
    case ScenarioFaultKind::kStoreDown:
      platform_.setDown(true);
      time().schedule(common::fromSeconds(fault.value), [this] { platform_.setDown(false); });
      return;
    case ScenarioFaultKind::kLoadLag:
      changeAllEngines([&](emulation::EngineFaults& faults) {
        faults.load_lag = common::fromSeconds(fault.value);
      });
      return;
    case ScenarioFaultKind::kCacheEventLoss:
      changeAllEngines(
          [&](emulation::EngineFaults& faults) { faults.cache_events.loss = fault.value; });
      return;
    case ScenarioFaultKind::kCacheEventDelay:
      changeAllEngines([&](emulation::EngineFaults& faults) {
        faults.cache_events.delay = common::fromSeconds(fault.value);
      });
      return;
    case ScenarioFaultKind::kRateLimit:
      limitEngines(static_cast<std::size_t>(fault.value), fault.requests_per_second);
      return;
  }
}

void ScenarioFleet::limitEngines(std::size_t count, double requests_per_second) {
  for (const auto& [address, engine] : engines_.all()) {
    if (count == 0) {
      return;
    }
    --count;
    emulation::EngineFaults faults = engine->faults();
    faults.rate_limit = requests_per_second;
    engine->setFaults(faults);
  }
}

emulation::EngineLedger ScenarioFleet::engineTotals() const {
  emulation::EngineLedger sum;
  for (const auto& [address, engine] : engines_.all()) {
    const emulation::EngineLedger& ledger = engine->ledger();
    sum.streams_started += ledger.streams_started;
    sum.streams_cut_by_order += ledger.streams_cut_by_order;
    sum.tokens += ledger.tokens;
    sum.role_changes += ledger.role_changes;
    sum.crashes += ledger.crashes;
    sum.prompt_tokens += ledger.prompt_tokens;
    sum.cached_prompt_tokens += ledger.cached_prompt_tokens;
    sum.kv_bytes_imported += ledger.kv_bytes_imported;
    sum.unavailable_time += ledger.unavailable_time;
  }
  return sum;
}

}  // namespace cypresswall::bench
