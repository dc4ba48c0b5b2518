/// Scripted engines, configuration and membership for tests of routing and orders in the
/// simulator's virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::testing {

/// One engine whose load reports and cache events the test sets.
struct ScriptedEngine {
  engines::EngineLoad load;
  std::vector<engines::CacheEvent> events;
  /// The engine lists its whole cache first, omits irrelevant changes and reports gaps itself.
  bool lists_cache = false;
  bool reachable = true;
  /// Number of load reads that get no answer although the engine is running.
  std::uint32_t load_reads_to_drop = 0;
  std::uint64_t load_reads = 0;
};

using ScriptedEngines = std::map<common::Address, ScriptedEngine>;

/// Answers reads of load and cache events after a millisecond; ignores streams and orders.
class ScriptedEngineClient final : public engines::EngineClient {
 public:
  ScriptedEngineClient(simulation::SimulatedProcess& process, ScriptedEngines& engines)
      : process_(process), engines_(engines) {}

  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint&,
                                               engines::StreamRequest,
                                               engines::StreamHandler&) override {
    return nullptr;
  }
  void sendOrder(const engines::EngineEndpoint&, const engines::EngineOrder&,
                 engines::EngineCallback<engines::OrderReply>) override {}
  void fetchLoad(const engines::EngineEndpoint& endpoint,
                 engines::EngineCallback<engines::EngineLoad> callback) override {
    ScriptedEngine& engine = engines_[endpoint.address];
    ++engine.load_reads;
    if (engine.load_reads_to_drop > 0) {
      --engine.load_reads_to_drop;
      ScriptedEngine lost;
      lost.reachable = false;
      answer(lost, engine.load, std::move(callback));
      return;
    }
    answer(engine, engine.load, std::move(callback));
  }
  void fetchCacheEvents(const engines::EngineEndpoint& endpoint, std::uint64_t after,
                        engines::EngineCallback<engines::CacheEvents> callback) override {
    ScriptedEngine& engine = engines_[endpoint.address];
    engines::CacheEvents events;
    events.incarnation = engine.load.incarnation;
    if (engine.lists_cache) {
      events.snapshot = after == 0;
      events.gap = false;
    }
    for (const auto& event : engine.events) {
      events.last_sequence = event.sequence;
      if (event.sequence > after) {
        events.events.push_back(event);
      }
    }
    answer(engine, events, std::move(callback));
  }

 private:
  template <typename Value>
  void answer(const ScriptedEngine& engine, Value value, engines::EngineCallback<Value> callback) {
    process_.deliverAfter(
        std::chrono::milliseconds(1),
        [reachable = engine.reachable, value = std::move(value), callback = std::move(callback)] {
          if (reachable) {
            callback(value);
          } else {
            callback(common::Failure<engines::EngineFailure>{engines::EngineFailure::kUnavailable,
                                                             "down"});
          }
        });
  }

  simulation::SimulatedProcess& process_;
  ScriptedEngines& engines_;
};

/// A configuration set by the test.
class SettableConfiguration final : public configuration::ConfigurationView {
 public:
  std::shared_ptr<const configuration::FleetConfiguration> current() const override {
    return current_;
  }
  void onChange(std::function<void(const configuration::FleetConfiguration&)> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void set(configuration::FleetConfiguration fleet) {
    fleet.version = current_->version + 1;
    current_ = std::make_shared<const configuration::FleetConfiguration>(std::move(fleet));
    for (const auto& listener : listeners_) {
      listener(*current_);
    }
  }

 private:
  std::shared_ptr<const configuration::FleetConfiguration> current_ =
      std::make_shared<const configuration::FleetConfiguration>();
  std::vector<std::function<void(const configuration::FleetConfiguration&)>> listeners_;
};

/// Members set by the test.
class SettableMembership final : public membership::MembershipView {
 public:
  SettableMembership(common::NodeId self, common::ZoneName zone)
      : self_(std::move(self)), zone_(std::move(zone)) {}

  const common::NodeId& self() const override { return self_; }
  const common::ZoneName& zone() const override { return zone_; }
  const std::vector<membership::Member>& members() const override { return members_; }
  bool machineLeaving(const common::MachineName& machine) const override {
    return leaving_.count(machine) != 0;
  }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool confirmedDead(const common::NodeId&) const override { return false; }
  std::vector<common::NodeId> silentNodes() const override { return silent_; }
  void setSilent(std::vector<common::NodeId> nodes) {
    silent_ = std::move(nodes);
    notify();
  }
  void setDigest(membership::DigestTopic, std::uint64_t) override {}
  std::optional<std::uint64_t> digest(const common::NodeId& node,
                                      membership::DigestTopic topic) const override {
    if (topic == membership::DigestTopic::kMessageSet) {
      return nodes_without_capabilities_.contains(node)
                 ? std::nullopt
                 : std::optional(static_cast<std::uint64_t>(api::kHandledMessages));
    }
    const auto links = link_megabits_.find(node);
    const bool known =
        topic == membership::DigestTopic::kLinkMegabits && links != link_megabits_.end();
    return known ? std::optional(links->second) : std::nullopt;
  }
  /// Simulates a node with an earlier build, which doesn't announce the messages that it handles.
  void setCapabilitiesUnknown(const common::NodeId& node) {
    nodes_without_capabilities_.insert(node);
  }
  void setLinkMegabits(const common::NodeId& node, std::uint64_t megabits) {
    link_megabits_[node] = megabits;
    notify();
  }
  void onChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void setMembers(const std::vector<common::NodeId>& nodes) {
    std::vector<membership::Member> members;
    members.reserve(nodes.size());
    for (const auto& node : nodes) {
      members.push_back(membership::Member{node, "", membership::MemberState::kAlive, ""});
    }
    setMembers(std::move(members));
  }
  void setMembers(std::vector<membership::Member> members) {
    members_ = std::move(members);
    notify();
  }
  void setLeaving(const common::MachineName& machine, bool leaving) {
    if (leaving) {
      leaving_.insert(machine);
    } else {
      leaving_.erase(machine);
    }
    notify();
  }

 private:
  void notify() {
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  common::NodeId self_;
  common::ZoneName zone_;
  std::vector<membership::Member> members_;
  std::vector<common::NodeId> silent_;
  std::set<common::MachineName> leaving_;
  std::vector<std::function<void()>> listeners_;
  std::map<common::NodeId, std::uint64_t> link_megabits_;
  std::set<common::NodeId> nodes_without_capabilities_;
};

/// \return the load report of an idle engine with typical speeds.
inline engines::EngineLoad idleLoad(const common::ModelName& model, engines::EngineRole role) {
  engines::EngineLoad load;
  load.incarnation = 1;
  load.role = role;
  load.model = model;
  load.version = std::string("1");
  load.maximum_streams = 32;
  load.cache_pieces_total = 256;
  load.prefill_tokens_per_second = 10000;
  load.decode_step_base = std::chrono::milliseconds(12);
  load.decode_step_per_stream = std::chrono::microseconds(400);
  return load;
}

/// Declares an engine in zone "z" on its own machine, named "machine-" plus the engine's name.
inline void declareEngine(configuration::FleetConfiguration& fleet, const common::EngineName& name,
                          const common::ModelName& model) {
  configuration::EngineDeclaration engine;
  engine.name = name;
  engine.zone = "z";
  engine.machine = "machine-" + name;
  engine.address = name + ":1";
  engine.model = model;
  fleet.engines[name] = engine;
  fleet.models[model].name = model;
  if (fleet.models[model].version.empty()) {
    fleet.models[model].version = "1";
  }
}

}  // namespace cypresswall::testing
