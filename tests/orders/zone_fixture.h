/// Simulated zone in virtual time: zone controllers and routers with stream traffic to emulated
/// engines, a lease assigned by the test, and an audit of every order sent.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/orders/zone_controller.h"
#include "cypresswall/routing/cost_router.h"
#include "cypresswall/simulation/simulated_engines.h"
#include "tests/support/engine_world.h"

namespace cypresswall::testing {

/// The actual state of the lease, assigned by the test.
struct ActualLease {
  common::NodeId holder;
  common::Epoch epoch;
  /// Node that plans and requests the lease on demand; empty if the lease is always held.
  common::NodeId planner;
  /// Nodes that currently request the lease.
  std::set<common::NodeId> needed_by;
};

/// One process's view of ActualLease: exact when queried, but never reports changes by itself.
class FakeAuthority final : public lease::AuthorityView {
 public:
  FakeAuthority(common::NodeId self, ActualLease& lease_state)
      : self_(std::move(self)), lease_state_(lease_state) {}
  std::optional<common::Epoch> heldEpoch() const override {
    return lease_state_.holder == self_ ? std::optional(lease_state_.epoch) : std::nullopt;
  }
  common::NodeId believedHolder() const override {
    return lease_state_.planner.empty() ? lease_state_.holder : lease_state_.planner;
  }
  void setNeeded(bool needed) override {
    if (needed) {
      lease_state_.needed_by.insert(self_);
    } else {
      lease_state_.needed_by.erase(self_);
    }
  }
  void onChange(std::function<void(std::optional<common::Epoch>)>) override {}

 private:
  common::NodeId self_;
  ActualLease& lease_state_;
};

/// Records all orders of a run and the invariants that they violate.
class OrderAudit {
 public:
  explicit OrderAudit(const ActualLease& lease_state) : lease_state_(lease_state) {}
  void sent(const common::NodeId& sender, const common::Address& engine,
            const engines::EngineOrder& order);
  void answered(const common::Address& engine, const engines::EngineOrder& order);

  /// Returns true if no live node sends the engine new work.
  std::function<bool(const common::Address& engine)> drained_everywhere;
  std::vector<std::string> violations;
  std::uint64_t orders = 0;
  std::uint64_t repeated = 0;

 private:
  struct Sent {
    engines::EngineOrder order;
    bool answered = false;
  };
  using Key = std::pair<common::Address, std::pair<common::Epoch, std::uint64_t>>;

  const ActualLease& lease_state_;
  std::map<Key, Sent> sent_;
  std::map<std::pair<common::Address, common::Epoch>, std::uint64_t> newest_;
};

/// Forwards all calls to the simulated engines and reports orders to the audit.
class AuditedEngineClient final : public engines::EngineClient {
 public:
  AuditedEngineClient(simulation::Simulation& simulation, simulation::SimulatedProcess& process,
                      simulation::SimulatedEngines& engines, OrderAudit& audit)
      : client_(simulation, process, engines), self_(process.id()), audit_(audit) {}
  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint& engine,
                                               engines::StreamRequest request,
                                               engines::StreamHandler& handler) override {
    return client_.startStream(engine, std::move(request), handler);
  }
  void sendOrder(const engines::EngineEndpoint& engine, const engines::EngineOrder& order,
                 engines::EngineCallback<engines::OrderReply> callback) override {
    audit_.sent(self_, engine.address, order);
    client_.sendOrder(engine, order,
                      [this, address = engine.address, order,
                       callback = std::move(callback)](const auto& result) {
                        if (result.ok()) {
                          audit_.answered(address, order);
                        }
                        callback(result);
                      });
  }
  void fetchLoad(const engines::EngineEndpoint& engine,
                 engines::EngineCallback<engines::EngineLoad> callback) override {
    client_.fetchLoad(engine, std::move(callback));
  }
  void fetchCacheEvents(const engines::EngineEndpoint& engine, std::uint64_t after,
                        engines::EngineCallback<engines::CacheEvents> callback) override {
    client_.fetchCacheEvents(engine, after, std::move(callback));
  }

 private:
  simulation::SimulatedEngineClient client_;
  common::NodeId self_;
  OrderAudit& audit_;
};

/// Role changes requested by the test; shared by all controllers of a run.
struct PlannerScript {
  std::vector<planning::RoleChange> wanted;
};

class ScriptedPlanner final : public planning::Planner {
 public:
  explicit ScriptedPlanner(PlannerScript& script) : script_(script) {}
  std::string name() const override { return "scripted"; }
  planning::Plan plan(const planning::PlanningInput&) override { return {script_.wanted, {}}; }

 private:
  PlannerScript& script_;
};

/// Starts streams through one node's router for as long as the node runs.
class StreamDriver {
 public:
  StreamDriver(const api::ProcessContext& context, routing::Router& router,
               engines::EngineClient& client, const bool& enabled);

  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;

 private:
  class Attempt;
  void startOne();
  void ended(const std::string& id);

  const api::ProcessContext& context_;
  routing::Router& router_;
  engines::EngineClient& client_;
  const bool& enabled_;
  std::uint64_t next_id_ = 0;
  std::map<std::string, std::unique_ptr<Attempt>> attempts_;
};

struct ZoneNode {
  simulation::SimulatedProcess* process = nullptr;
  SettableConfiguration* configuration = nullptr;
  SettableMembership* membership = nullptr;
  routing::EngineDirectory* directory = nullptr;
  routing::CostRouter* router = nullptr;
  orders::ZoneController* controller = nullptr;
  StreamDriver* streams = nullptr;
};

class ZoneFixture {
 public:
  ZoneFixture(std::uint64_t seed, int nodes, int engines);

  /// Starts a new incarnation of a node at its address; an earlier one ends.
  void restart(std::size_t node);
  void kill(std::size_t node);
  /// Assigns the lease to a node under the next epoch.
  void assignLease(std::size_t node);
  void loseLease() { lease_state.holder = {}; }
  void run(common::Duration time) { simulation.time().runFor(time); }
  void setConfiguration();
  void shareMembers();
  emulation::EmulatedEngine& engine(int i) { return *engines.find(nameOf(i) + ":1"); }
  static std::string nameOf(int i);
  /// \return the index of the node that holds the lease, or -1.
  int holder() const;
  /// \return a description of what has not recovered from faults; empty if everything has.
  std::string unsettled();
  std::uint64_t streamsCutByOrders() const;
  std::uint64_t roleChanges() const;

  simulation::Simulation simulation;
  simulation::SimulatedEngines engines{simulation};
  ActualLease lease_state;
  OrderAudit audit{lease_state};
  PlannerScript script;
  bool streams_enabled = true;
  configuration::FleetConfiguration fleet;
  std::vector<ZoneNode> nodes;
  orders::ControllerSettings settings;
};

}  // namespace cypresswall::testing
