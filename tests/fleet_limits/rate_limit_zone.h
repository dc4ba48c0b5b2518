/// Nodes of one zone that enforce rate limits, in virtual time. There are no servers: the test
/// supplies their responses.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/fleet_limits/engine_rate_limits.h"
#include "cypresswall/simulation/simulation.h"
#include "tests/support/engine_world.h"

namespace cypresswall::testing {

class RateLimitZone {
 public:
  explicit RateLimitZone(std::size_t nodes, std::uint64_t seed = 1) : simulation_(seed) {
    for (std::size_t i = 0; i < nodes; ++i) {
      nodes_.emplace_back();
      startNode(i);
    }
    announceMembers();
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }
  common::MonotonicTime now() { return simulation_.time().now(); }
  std::size_t size() const { return nodes_.size(); }
  fleet_limits::EngineRateLimits& at(std::size_t node) { return *nodes_[node].limits; }
  const common::NodeId& id(std::size_t node) const { return nodes_[node].process->id(); }
  std::uint64_t messages() { return simulation_.network().deliveredMessages(); }

  /// The node receives a response to a request that it has just sent.
  void receiveResponse(std::size_t node, const std::string& server,
                       const common::RateLimitNotice& notice) {
    at(node).answered(server, notice, nodes_[node].process->context().clock.now());
  }
  void receiveResponse(std::size_t node, const std::string& server, double limit) {
    receiveResponse(node, server, common::namedRateLimit(limit));
  }
  /// The node asks for a permit to send a request; a granted request counts as sent at that time.
  void send(std::size_t node, const std::string& server) {
    at(node).acquire(server, [this, server](bool granted) {
      if (granted) {
        sent_[server].push_back(now());
      } else {
        ++refused_;
      }
    });
  }
  /// Sends one request per `interval` to a server, each from a random node.
  void sendFor(common::Duration duration, common::Duration interval, const std::string& server) {
    for (common::Duration spent{0}; spent < duration; spent += interval) {
      const auto node = simulation_.random().below(nodes_.size());
      if (nodes_[node].process != nullptr) {
        send(node, server);
      }
      run(interval);
    }
  }

  void stop(std::size_t node) {
    nodes_[node].process->kill();
    nodes_[node] = {};
  }
  void restart(std::size_t node) {
    if (nodes_[node].process != nullptr) {
      stop(node);
    }
    startNode(node);
  }
  void add() {
    nodes_.emplace_back();
    startNode(nodes_.size() - 1);
  }
  std::vector<common::NodeId> running() const {
    std::vector<common::NodeId> ids;
    for (const Node& node : nodes_) {
      if (node.process != nullptr) {
        ids.push_back(node.process->id());
      }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }
  void announceMembers() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      announceMembers(node, running());
    }
  }
  void announceMembers(std::size_t node, const std::vector<common::NodeId>& members) {
    if (nodes_[node].process != nullptr) {
      nodes_[node].membership->setMembers(members);
    }
  }
  /// Partitions the first nodes from the others; each side sees only its own members.
  void partitionAfter(std::size_t first) {
    const auto all = running();
    for (std::size_t left = 0; left < first; ++left) {
      for (std::size_t right = first; right < nodes_.size(); ++right) {
        simulation_.network().cutAddresses(id(left).address, id(right).address);
        simulation_.network().cutAddresses(id(right).address, id(left).address);
      }
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      std::vector<common::NodeId> side;
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if ((node < first) == (other < first)) {
          side.push_back(id(other));
        }
      }
      std::sort(side.begin(), side.end());
      announceMembers(node, side);
    }
  }
  /// Makes these nodes run an earlier build without rate limits, which cannot be keepers.
  void runEarlierBuild(std::size_t first, std::size_t last) {
    for (const Node& node : nodes_) {
      for (std::size_t earlier = first; earlier <= last; ++earlier) {
        node.membership->setCapabilitiesUnknown(id(earlier));
      }
    }
    for (std::size_t earlier = first; earlier <= last; ++earlier) {
      nodes_[earlier].process->context().dispatcher = {};
    }
    announceMembers();
  }
  std::uint64_t unhandledMessages() {
    std::uint64_t count = 0;
    for (const auto& process : simulation_.processes()) {
      count += process->undispatchedMessages();
    }
    return count;
  }

  /// \return the number of nodes that know this limit of the server
  std::size_t nodesWithLimit(const std::string& server, double limit) {
    return count(
        [&](const fleet_limits::RateLimit* known) {
          return known != nullptr && known->requests_per_second == limit;
        },
        server);
  }
  std::size_t nodesWithoutLimit(const std::string& server) {
    return count([](const fleet_limits::RateLimit* known) { return known == nullptr; }, server);
  }
  /// \return the index of the server's keeper as seen by the first node
  std::size_t keeperOf(const std::string& server) {
    for (const auto& row : at(0).rows()) {
      if (row.server == server) {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
          if (nodes_[node].process != nullptr && id(node) == row.keeper) {
            return node;
          }
        }
      }
    }
    return nodes_.size();
  }
  std::size_t refused() const { return refused_; }
  std::size_t sentSince(const std::string& server, common::MonotonicTime from) {
    const auto& times = sent_[server];
    return static_cast<std::size_t>(times.end() -
                                    std::lower_bound(times.begin(), times.end(), from));
  }
  /// \return the largest number of requests sent in any span of that length
  std::size_t maximumInSpan(const std::string& server, common::Duration span) {
    const auto& times = sent_[server];
    std::size_t worst = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      const auto end = std::lower_bound(first, times.end(), *first + span);
      worst = std::max(worst, static_cast<std::size_t>(end - first));
    }
    return worst;
  }

  fleet_limits::RateLimitSettings settings;

 private:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    SettableMembership* membership = nullptr;
    fleet_limits::EngineRateLimits* limits = nullptr;
  };

  template <typename Holds>
  std::size_t count(Holds holds, const std::string& server) {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
          return node.limits != nullptr && holds(node.limits->table().activeLimit(server));
        }));
  }
  void startNode(std::size_t index) {
    const auto address =
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
    auto& process = simulation_.start(address, "z");
    Node& node = nodes_[index];
    node.process = &process;
    node.membership = &process.emplace<SettableMembership>(process.id(), "z");
    node.membership->setMembers(std::vector<common::NodeId>{process.id()});
    node.limits = &process.emplace<fleet_limits::EngineRateLimits>(
        settings, membership::NeighbourSettings{}, process.context(), *node.membership);
    process.deliver([limits = node.limits] { limits->start(); });
  }

  std::vector<Node> nodes_;
  std::map<std::string, std::vector<common::MonotonicTime>> sent_;
  std::size_t refused_ = 0;
  simulation::Simulation simulation_;
};

}  // namespace cypresswall::testing
