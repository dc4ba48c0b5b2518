#include "tests/orders/zone_fixture.h"

#include <algorithm>
#include <utility>

namespace cypresswall::testing {
namespace {

std::string describe(const common::Address& engine, const engines::EngineOrder& order) {
  return engine + " epoch " + order.epoch.toString() + " sequence " +
         std::to_string(order.sequence);
}

}  // namespace

void OrderAudit::sent(const common::NodeId& sender, const common::Address& engine,
                      const engines::EngineOrder& order) {
  ++orders;
  if (!(lease_state_.holder == sender) || !(lease_state_.epoch == order.epoch)) {
    violations.push_back("sent without authority: " + describe(engine, order));
  }
  const bool planned = order.content.kind == engines::OrderKind::kChangeRole ||
                       order.content.kind == engines::OrderKind::kLoadModel;
  if (planned && !order.content.only_if_idle) {
    violations.push_back("order may interrupt streams: " + describe(engine, order));
  }
  const Key key{engine, {order.epoch, order.sequence}};
  const auto same = sent_.find(key);
  if (same != sent_.end()) {
    ++repeated;
    if (!(same->second.order == order)) {
      violations.push_back("two orders with one sequence number: " + describe(engine, order));
    }
    return;
  }
  if (planned && !drained_everywhere(engine)) {
    violations.push_back("ordered before it was drained: " + describe(engine, order));
  }
  std::uint64_t& newest = newest_[{engine, order.epoch}];
  if (order.sequence <= newest) {
    violations.push_back("sequence number did not increase: " + describe(engine, order));
  }
  const auto previous = sent_.find({engine, {order.epoch, newest}});
  const bool open = previous != sent_.end() && !previous->second.answered &&
                    previous->second.order.engine_incarnation == order.engine_incarnation;
  if (open && order.content.kind != engines::OrderKind::kRaiseFence) {
    violations.push_back("sent while an earlier order is open: " + describe(engine, order));
  }
  newest = order.sequence;
  sent_[key] = Sent{order, false};
}

void OrderAudit::answered(const common::Address& engine, const engines::EngineOrder& order) {
  sent_.at({engine, {order.epoch, order.sequence}}).answered = true;
}

class StreamDriver::Attempt final : public engines::StreamHandler {
 public:
  Attempt(StreamDriver& driver, std::string id, common::EngineName engine)
      : driver_(driver), id_(std::move(id)), engine_(std::move(engine)) {}
  void onToken(std::uint32_t, std::uint32_t index, const std::string&) override {
    if (index == 0) {
      driver_.router_.firstTokenReceived(id_);
    }
  }
  void onFinished(std::uint32_t, const engines::StreamUsage&) override {
    ++driver_.finished;
    driver_.router_.attemptFinished(id_);
    driver_.ended(id_);
  }
  void onFailed(engines::StreamFailure failure, const std::string&) override {
    ++(failure == engines::StreamFailure::kBroken ? driver_.broken : driver_.refused);
    driver_.router_.attemptFailed(id_, engine_, failure);
    driver_.ended(id_);
  }
  std::unique_ptr<engines::Stream> stream;

 private:
  StreamDriver& driver_;
  std::string id_;
  common::EngineName engine_;
};

StreamDriver::StreamDriver(const api::ProcessContext& context, routing::Router& router,
                           engines::EngineClient& client, const bool& enabled)
    : context_(context), router_(router), client_(client), enabled_(enabled) {
  context_.scheduler.schedule(std::chrono::milliseconds(100), [this] { startOne(); });
}

void StreamDriver::startOne() {
  constexpr std::uint64_t kMeanGapMicroseconds = 60000;
  context_.scheduler.schedule(common::Duration(context_.random.below(2 * kMeanGapMicroseconds)),
                              [this] { startOne(); });
  if (!enabled_) {
    return;
  }
  routing::RouteRequest request;
  request.stream_id = context_.self.toString() + "/" + std::to_string(++next_id_);
  request.model = "m";
  request.shape.tokens = static_cast<std::uint32_t>(100 + context_.random.below(2000));
  request.shape.content_hash = context_.random.next();
  request.maximum_tokens = static_cast<std::uint32_t>(10 + context_.random.below(60));
  const routing::RouteChoice choice = router_.choose(request);
  const auto* route = std::get_if<routing::Route>(&choice);
  if (route == nullptr || route->prefill_engine) {
    ++refused;
    return;
  }
  router_.attemptStarted(request, *route);
  engines::StreamRequest stream;
  stream.stream_id = request.stream_id;
  stream.model = request.model;
  stream.shape = request.shape;
  stream.maximum_tokens = request.maximum_tokens;
  auto attempt = std::make_unique<Attempt>(*this, request.stream_id, route->engine.name);
  attempt->stream = client_.startStream(route->engine, stream, *attempt);
  attempts_[request.stream_id] = std::move(attempt);
  ++started;
}

void StreamDriver::ended(const std::string& id) {
  // The handler is still on the call stack, so it is destroyed in a later event.
  context_.scheduler.schedule(common::Duration(0), [this, id] { attempts_.erase(id); });
}

ZoneFixture::ZoneFixture(std::uint64_t seed, int node_count, int engine_count) : simulation(seed) {
  settings.drain.timeout = std::chrono::seconds(10);
  fleet.planning.automatic_roles = true;
  audit.drained_everywhere = [this](const common::Address& address) {
    return std::all_of(nodes.begin(), nodes.end(), [&](const ZoneNode& node) {
      const auto name = address.substr(0, address.find(':'));
      return !node.process->alive() ||
             node.directory->find(name)->availability != routing::EngineAvailability::kAvailable;
    });
  };
  for (int i = 0; i < engine_count; ++i) {
    declareEngine(fleet, nameOf(i), "m");
    emulation::EngineSettings engine;
    engine.name = nameOf(i);
    engine.model = "m";
    engine.version = "1";
    engine.role_change_time = std::chrono::seconds(1);
    engine.model_load_time = std::chrono::seconds(1);
    engine.restart_time = std::chrono::seconds(1);
    engine.ledger_limit = 100000;
    engines.add(nameOf(i) + ":1", "z", engine);
  }
  nodes.resize(static_cast<std::size_t>(node_count));
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    restart(node);
  }
  assignLease(0);
}

std::string ZoneFixture::nameOf(int i) { return "e" + std::to_string(100 + i); }

void ZoneFixture::restart(std::size_t index) {
  ZoneNode& node = nodes[index];
  const std::string address = "10.0.0." + std::to_string(index + 1) + ":7000";
  node.process = &simulation.start(address, "z");
  auto& process = *node.process;
  const auto& context = process.context();
  node.configuration = &process.emplace<SettableConfiguration>();
  node.membership = &process.emplace<SettableMembership>(process.id(), "z");
  auto& client = process.emplace<AuditedEngineClient>(simulation, process, engines, audit);
  auto& authority = process.emplace<FakeAuthority>(process.id(), lease_state);
  node.directory = &process.emplace<routing::EngineDirectory>(
      routing::DirectorySettings{}, context, client, *node.configuration, *node.membership);
  node.router =
      &process.emplace<routing::CostRouter>(routing::RouterSettings{}, context, *node.directory);
  node.controller = &process.emplace<orders::ZoneController>(
      settings, context, authority, *node.directory, client, *node.configuration, *node.membership,
      std::make_unique<ScriptedPlanner>(script));
  node.streams = &process.emplace<StreamDriver>(context, *node.router, client, streams_enabled);
  node.directory->start();
  node.controller->start();
  node.configuration->set(fleet);
  shareMembers();
}

void ZoneFixture::kill(std::size_t node) {
  simulation.kill(*nodes[node].process);
  if (lease_state.holder == nodes[node].process->id()) {
    loseLease();
  }
  shareMembers();
}

void ZoneFixture::assignLease(std::size_t node) {
  ++lease_state.epoch.term;
  lease_state.holder = nodes[node].process->id();
}

void ZoneFixture::setConfiguration() {
  for (ZoneNode& node : nodes) {
    if (node.process->alive()) {
      node.configuration->set(fleet);
    }
  }
}

void ZoneFixture::shareMembers() {
  std::vector<common::NodeId> ids;
  for (const ZoneNode& node : nodes) {
    if (node.process != nullptr && node.process->alive()) {
      ids.push_back(node.process->id());
    }
  }
  for (const ZoneNode& node : nodes) {
    if (node.process != nullptr && node.process->alive()) {
      node.membership->setMembers(ids);
    }
  }
}

int ZoneFixture::holder() const {
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    if (nodes[node].process->alive() && lease_state.holder == nodes[node].process->id()) {
      return static_cast<int>(node);
    }
  }
  return -1;
}

std::string ZoneFixture::unsettled() {
  const int holding = holder();
  if (holding < 0) {
    return "no holder";
  }
  for (const auto& [name, declaration] : fleet.engines) {
    const auto* control = nodes[static_cast<std::size_t>(holding)].controller->control(name);
    if (control == nullptr || control->phase() != orders::ControlPhase::kIdle) {
      return name + " is " + (control == nullptr ? "without control" : toString(control->phase()));
    }
    for (const ZoneNode& node : nodes) {
      const auto availability = node.directory->find(name)->availability;
      if (availability != routing::EngineAvailability::kAvailable) {
        return name + " is " + toString(availability) + " at " + node.process->id().toString();
      }
    }
  }
  return {};
}

std::uint64_t ZoneFixture::streamsCutByOrders() const {
  std::uint64_t cut = 0;
  for (const auto& [address, engine] : engines.all()) {
    cut += engine->ledger().streams_cut_by_order;
  }
  return cut;
}

std::uint64_t ZoneFixture::roleChanges() const {
  std::uint64_t changes = 0;
  for (const auto& [address, engine] : engines.all()) {
    changes += engine->ledger().role_changes;
  }
  return changes;
}

}  // namespace cypresswall::testing
