/// Simulated zone in virtual time: nodes with a FleetQuarantine each, engines that can be crashed,
/// and the platform's object store.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/membership/rendezvous.h"
#include "cypresswall/quarantine/fleet_quarantine.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "tests/support/engine_world.h"

namespace cypresswall::testing {

/// Wall-clock time at the start of the simulation.
inline constexpr common::Duration kZoneStart = std::chrono::hours(500'000);

class QuarantineZone {
 public:
  explicit QuarantineZone(std::size_t node_count, std::uint64_t seed = 1)
      : simulation_(seed), platform_(simulation_) {
    for (std::size_t i = 0; i < node_count; ++i) {
      add();
    }
    updateMembers();
  }

  /// Starts one more node, which the others see only after updateMembers().
  void add() {
    nodes_.emplace_back();
    startNode(nodes_.size() - 1);
  }
  /// Kills a node and starts it again without its former state.
  void restart(std::size_t node) {
    nodes_[node].process->kill();
    startNode(node);
  }
  /// \return the index of the node that stores the crashes and the list
  std::size_t storingNode() const { return rankedNodes("quarantine/z", 1).front(); }
  /// \return the indices of the nodes that count the crashes of the request
  std::vector<std::size_t> countingNodes(common::RequestFingerprint request,
                                         std::size_t count) const {
    return rankedNodes(common::toString(request), count);
  }
  std::vector<std::size_t> rankedNodes(const std::string& key, std::size_t count) const {
    std::vector<common::NodeId> ids;
    for (const Node& node : nodes_) {
      ids.push_back(node.process->id());
    }
    std::vector<std::size_t> counting;
    for (const auto& id : membership::rendezvousNodes(key, ids, count)) {
      counting.push_back(
          static_cast<std::size_t>(std::find(ids.begin(), ids.end(), id) - ids.begin()));
    }
    return counting;
  }
  void end(std::size_t node) {
    nodes_[node].process->kill();
    nodes_[node].process = nullptr;
  }
  void updateMembers() {
    std::vector<common::NodeId> ids;
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        ids.push_back(node.process->id());
      }
    }
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        node.membership->setMembers(ids);
      }
    }
  }
  /// Makes the nodes behave like a build without quarantine: they handle none of its messages.
  void runEarlierBuild(std::size_t first, std::size_t last) {
    for (const Node& node : nodes_) {
      for (std::size_t earlier = first; earlier <= last; ++earlier) {
        node.membership->setCapabilitiesUnknown(nodes_[earlier].process->id());
      }
    }
    for (std::size_t earlier = first; earlier <= last; ++earlier) {
      nodes_[earlier].process->context().dispatcher = {};
    }
  }
  std::uint64_t messagesNotHandled() {
    std::uint64_t count = 0;
    for (const auto& process : simulation_.processes()) {
      count += process->undispatchedMessages();
    }
    return count;
  }
  void endEngine(int engine) { engines_[endpoint(engine).address].reachable = false; }
  /// Starts an engine that does not answer its next `count` probes.
  void loseProbes(int engine, std::uint32_t count) {
    runEngine(engine);
    engines_[endpoint(engine).address].load_reads_to_drop = count;
  }
  /// Isolates a node from its peers, not from the store; each side considers the other dead.
  void cutOff(std::size_t cut) {
    std::vector<common::NodeId> others;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (node != cut) {
        const auto address = nodes_[node].process->id().address;
        const auto cut_address = nodes_[cut].process->id().address;
        simulation_.network().cutAddresses(address, cut_address);
        simulation_.network().cutAddresses(cut_address, address);
        others.push_back(nodes_[node].process->id());
      }
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      nodes_[node].membership->setMembers(node == cut ? std::vector{nodes_[cut].process->id()}
                                                      : others);
    }
  }
  /// Marks the node as leaving.
  void leave(std::size_t leaving) {
    for (const Node& node : nodes_) {
      auto members = node.membership->members();
      for (membership::Member& member : members) {
        const bool leaves = member.node == nodes_[leaving].process->id();
        member.state = leaves ? membership::MemberState::kLeaving : member.state;
      }
      node.membership->setMembers(std::move(members));
    }
  }
  void runEngine(int engine) { engines_[endpoint(engine).address].reachable = true; }
  void run(common::Duration time) { simulation_.time().runFor(time); }

  /// Crashes an engine and breaks the stream of the request that the node had started on it.
  void crash(std::size_t node, common::RequestFingerprint request, int engine) {
    endEngine(engine);
    breakStream(node, request, engine);
  }
  void breakStream(std::size_t node, common::RequestFingerprint request, int engine) {
    nodes_[node].quarantine->streamBroken({request, {}}, endpoint(engine),
                                          quarantine::OutputProgress::kNone);
  }
  /// Crashes an engine under a request whose prompt has shared parts.
  void crashUnder(std::size_t node, const common::RequestContent& content, int engine,
                  quarantine::OutputProgress progress = quarantine::OutputProgress::kNone) {
    endEngine(engine);
    nodes_[node].quarantine->streamBroken(content, endpoint(engine), progress);
  }
  quarantine::FleetQuarantine& at(std::size_t node) { return *nodes_[node].quarantine; }
  bool isQuarantined(std::size_t node, common::RequestFingerprint request) const {
    const auto kept = nodes_[node].quarantine->all();
    return std::any_of(kept.begin(), kept.end(),
                       [request](const auto& entry) { return entry.request == request; });
  }
  std::size_t nodesThatQuarantine(common::RequestFingerprint request) const {
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      count += nodes_[node].process != nullptr && isQuarantined(node, request) ? 1 : 0;
    }
    return count;
  }
  std::size_t size() const { return nodes_.size(); }
  std::uint64_t engineProbes() const {
    std::uint64_t probes = 0;
    for (const auto& [address, engine] : engines_) {
      probes += engine.load_reads;
    }
    return probes;
  }
  std::uint64_t messages() { return simulation_.network().deliveredMessages(); }
  simulation::SimulatedPlatform& platform() { return platform_; }

  quarantine::QuarantineSettings settings;

 private:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    SettableMembership* membership = nullptr;
    quarantine::FleetQuarantine* quarantine = nullptr;
  };

  static engines::EngineEndpoint endpoint(int engine) {
    const std::string name = "engine-" + std::to_string(engine);
    return {name, name + ":1"};
  }
  void startNode(std::size_t index) {
    const auto address =
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
    auto& process = simulation_.start(address, "z");
    Node& node = nodes_[index];
    node.process = &process;
    node.membership = &process.emplace<SettableMembership>(process.id(), "z");
    node.membership->setMembers(std::vector<common::NodeId>{process.id()});
    auto& client = process.emplace<ScriptedEngineClient>(process, engines_);
    auto& store =
        process.emplace<simulation::SimulatedObjectStore>(simulation_, process, platform_);
    node.quarantine = &process.emplace<quarantine::FleetQuarantine>(
        settings, membership::NeighbourSettings{}, process.context(), *node.membership, client,
        store, [this] { return kZoneStart + simulation_.time().now().time_since_epoch(); });
    process.deliver([quarantine = node.quarantine] { quarantine->start(); });
  }

  ScriptedEngines engines_;
  std::vector<Node> nodes_;
  simulation::Simulation simulation_;
  simulation::SimulatedPlatform platform_;
};

}  // namespace cypresswall::testing
