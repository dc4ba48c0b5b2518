/// Nodes in virtual time that divide one scarce pool among tenants: admission at each node, the
/// keepers' messages, and a pool that places so many requests a second, whoever asks.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/fleet_limits/fair_share_accounts.h"
#include "cypresswall/simulation/simulation.h"
#include "tests/support/engine_world.h"

namespace cypresswall::admission {

struct TenantLoad {
  std::string tenant;
  double requests_per_second = 0;
};

struct TenantCounts {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t refused_by_share = 0;
};

class FairShareFleet {
 public:
  static constexpr const char* kPool = "model/dispatch";

  explicit FairShareFleet(std::size_t nodes, bool shares = true, std::uint64_t seed = 1)
      : shares_(shares), simulation_(seed) {
    nodes_.resize(nodes);
    for (std::size_t node = 0; node < nodes; ++node) {
      start(node);
    }
    announce(0, nodes);
    run(std::chrono::seconds(10));
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }

  /// Sends each tenant's requests, evenly mixed, from random nodes of a range.
  /// \param capacity requests per second that the pool places
  void load(common::Duration duration, const std::vector<TenantLoad>& tenants, double capacity,
            std::size_t first, std::size_t end) {
    double rate = 0;
    for (const TenantLoad& tenant : tenants) {
      rate += tenant.requests_per_second;
    }
    const auto interval = common::fromSeconds(1 / rate);
    for (common::Duration spent{0}; spent < duration; spent += interval) {
      room_ = std::min(room_ + capacity / rate, std::max(1.0, capacity * kQueueSeconds));
      double drawn = simulation_.random().unit() * rate;
      auto tenant = tenants.begin();
      while (std::next(tenant) != tenants.end() && drawn >= tenant->requests_per_second) {
        drawn -= tenant->requests_per_second;
        ++tenant;
      }
      send(first + simulation_.random().below(end - first), tenant->tenant);
      run(interval);
    }
  }
  void load(common::Duration duration, const std::vector<TenantLoad>& tenants, double capacity) {
    load(duration, tenants, capacity, 0, nodes_.size());
  }

  /// Sends one request. \return true if it was served
  bool send(std::size_t index, const std::string& tenant,
            configuration::Urgency urgency = configuration::Urgency::kNormal) {
    ShareRequest request;
    request.pool = kPool;
    request.tenant = tenant;
    request.urgency = urgency;
    TenantCounts& counts = counts_[tenant];
    ++counts.asked;
    if (shares_ && nodes_[index].shares->decide(request).retry_after) {
      ++counts.refused_by_share;
      return false;
    }
    nodes_[index].shares->recordAdmitted(request);
    const bool placed = room_ >= 1;
    room_ -= placed ? 1 : 0;
    counts.served += placed ? 1 : 0;
    if (shares_) {
      nodes_[index].shares->recordPlaced(kPool, urgency, !placed);
    }
    return placed;
  }

  /// \return the counts since the last call
  std::map<std::string, TenantCounts> takeCounts() { return std::exchange(counts_, {}); }
  std::uint64_t messages() { return simulation_.network().deliveredMessages(); }
  std::size_t size() const { return nodes_.size(); }

  /// Splits the nodes into two sides that do not reach each other.
  void partitionAfter(std::size_t first) {
    for (std::size_t left = 0; left < first; ++left) {
      for (std::size_t right = first; right < nodes_.size(); ++right) {
        simulation_.network().cutAddresses(address(left), address(right));
        simulation_.network().cutAddresses(address(right), address(left));
      }
    }
    announce(0, first);
    announce(first, nodes_.size());
  }
  /// Kills the keeper of the pool; the others notice only with tellMembers().
  void killKeeper() {
    const common::NodeId keeper = nodes_.front().accounts->keeperOf(kPool);
    CPPUNIT_ASSERT(!keeper.empty());
    const auto dead = std::find_if(nodes_.begin(), nodes_.end(),
                                   [&](const Node& node) { return node.process->id() == keeper; });
    dead->process->kill();
    nodes_.erase(dead);
  }
  void tellMembers() { announce(0, nodes_.size()); }
  /// Makes the nodes of a range run an earlier build, which knows no fair shares.
  void setEarlierBuild(std::size_t first, std::size_t end) {
    for (const Node& node : nodes_) {
      for (std::size_t earlier = first; earlier < end; ++earlier) {
        node.membership->setCapabilitiesUnknown(nodes_[earlier].process->id());
      }
    }
    tellMembers();
  }
  template <typename Message>
  void deliver(std::size_t to, const Message& message) {
    const auto& sender = nodes_.back().process->context();
    sender.sendTo(nodes_[to].process->id(), message);
    run(std::chrono::milliseconds(50));
  }
  /// \return the count of one event of the division at a node
  double eventCount(std::size_t node, const std::string& event) {
    return nodes_[node]
        .process->context()
        .counters.counter("cypresswall_fair_share_events_total", "", "event", event)
        .value();
  }
  double counter(std::size_t node, const std::string& name) {
    return nodes_[node].process->context().counters.total(name);
  }

 private:
  /// Requests that wait for room in the pool are placed; more than that are refused.
  static constexpr double kQueueSeconds = 0.2;

  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    testing::SettableMembership* membership = nullptr;
    FairShares* shares = nullptr;
    fleet_limits::FairShareAccounts* accounts = nullptr;
  };

  std::string address(std::size_t node) const { return nodes_[node].process->id().address; }
  void start(std::size_t index) {
    auto& process = simulation_.start(
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000",
        "z");
    const api::ProcessContext& context = process.context();
    Node& node = nodes_[index];
    node.process = &process;
    node.membership = &process.emplace<testing::SettableMembership>(process.id(), "z");
    node.shares = &process.emplace<FairShares>(FairShareSettings{}, context.clock, context.random,
                                               context.counters);
    fleet_limits::FairShareAccountSettings settings;
    settings.enabled = true;
    node.accounts = &process.emplace<fleet_limits::FairShareAccounts>(
        settings, membership::NeighbourSettings{}, context, *node.membership, *node.shares);
    node.shares->onShortage(
        [accounts = node.accounts](const std::string& pool) { accounts->onShortage(pool); });
  }
  /// Makes the nodes of a range see each other as the members.
  void announce(std::size_t first, std::size_t end) {
    std::vector<common::NodeId> members;
    for (std::size_t node = first; node < end; ++node) {
      members.push_back(nodes_[node].process->id());
    }
    std::sort(members.begin(), members.end());
    for (std::size_t node = first; node < end; ++node) {
      nodes_[node].membership->setMembers(members);
    }
  }

  const bool shares_;
  std::vector<Node> nodes_;
  std::map<std::string, TenantCounts> counts_;
  double room_ = 0;
  simulation::Simulation simulation_;
};

}  // namespace cypresswall::admission
