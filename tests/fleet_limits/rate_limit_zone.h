/// Nodes of one zone that keep the limits which servers name, in virtual time; no server is there,
/// a test says what was answered.
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
    tellMembers();
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }
  common::MonotonicTime now() { return simulation_.time().now(); }
  std::size_t size() const { return nodes_.size(); }
  fleet_limits::EngineRateLimits& at(std::size_t node) { return *nodes_[node].limits; }
  const common::NodeId& id(std::size_t node) const { return nodes_[node].process->id(); }
  std::uint64_t messages() { return simulation_.network().deliveredMessages(); }

  /// A node gets an answer to a request that it has just sent.
  void answer(std::size_t node, const std::string& server, const common::RateLimitNotice& notice) {
    at(node).answered(server, notice, nodes_[node].process->context().clock.now());
  }
  void answer(std::size_t node, const std::string& server, double limit) {
    answer(node, server, common::namedRateLimit(limit));
  }
  /// A node wants to send a request; what it gets a permit for counts as sent then.
  void send(std::size_t node, const std::string& server) {
    at(node).acquire(server, [this, server](bool granted) {
      if (granted) {
        sent_[server].push_back(now());
      } else {
        ++refused_;
      }
    });
  }
  /// Requests for a server, each from any node, one each `interval`.
  void sendFor(common::Duration duration, common::Duration interval, const std::string& server) {
    for (common::Duration spent{0}; spent < duration; spent += interval) {
      const auto node = simulation_.random().below(nodes_.size());
      if (nodes_[node].process != nullptr) {
        send(node, server);
      }
      run(interval);
    }
  }

  void end(std::size_t node) {
    nodes_[node].process->kill();
    nodes_[node] = {};
  }
  void restart(std::size_t node) {
    if (nodes_[node].process != nullptr) {
      end(node);
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
  void tellMembers() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      tellMembers(node, running());
    }
  }
  void tellMembers(std::size_t node, const std::vector<common::NodeId>& members) {
    if (nodes_[node].process != nullptr) {
      nodes_[node].membership->setMembers(members);
    }
  }
  /// The first nodes and the others don't reach each other, and each side knows it.
  void cutAfter(std::size_t first) {
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
      tellMembers(node, side);
    }
  }
  /// These nodes run a build that knows no limits: they keep no account.
  void runEarlierBuild(std::size_t first, std::size_t last) {
    for (const Node& node : nodes_) {
      for (std::size_t earlier = first; earlier <= last; ++earlier) {
        node.membership->setEarlierBuild(id(earlier));
      }
    }
    for (std::size_t earlier = first; earlier <= last; ++earlier) {
      nodes_[earlier].process->context().dispatcher = {};
    }
    tellMembers();
  }
  std::uint64_t messagesNotHandled() {
    std::uint64_t count = 0;
    for (const auto& process : simulation_.processes()) {
      count += process->undispatchedMessages();
    }
    return count;
  }

  /// \return how many nodes know that a server stands under this limit
  std::size_t nodesThatKnow(const std::string& server, double limit) {
    return count(
        [&](const fleet_limits::RateLimit* known) {
          return known != nullptr && known->requests_per_second == limit;
        },
        server);
  }
  std::size_t nodesThatKnowNone(const std::string& server) {
    return count([](const fleet_limits::RateLimit* known) { return known == nullptr; }, server);
  }
  /// \return the node that keeps the server's account, as the first node sees it
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
  /// \return the most requests that were sent in any span of that length
  std::size_t worstSpan(const std::string& server, common::Duration span) {
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
