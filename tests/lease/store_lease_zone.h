/// A zone of nodes that share a lease in the store, with random faults, in virtual time.
#pragma once

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/lease/store_lease.h"
#include "cypresswall/membership/membership.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::lease::testing {

using namespace std::chrono_literals;
using common::Duration;
using cypresswall::testing::VirtualWorld;

constexpr int kFaultsPerRun = 30;

enum class FaultKind : std::uint8_t {
  kRestart,
  kKill,
  kPause,
  kPauseHolder,
  kStoreUnreachable,  ///< one node cannot reach the store
  kStoreUnreachableForHolder,
  kStoreDown,
  kHeal,
  kCutPeers,  ///< partitions the nodes in two by the pattern's bits; all can reach the store
};

struct Fault {
  FaultKind kind = FaultKind::kRestart;
  int node = 0;
  std::uint32_t pattern = 0;
  std::int64_t wait_ms = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{kind " << static_cast<int>(fault.kind) << ", node " << fault.node << ", pattern "
             << fault.pattern << ", wait " << fault.wait_ms << "}";
}

/// A zone of nodes, each of which acquires the lease in the store whenever it considers itself the
/// next holder. Checks after every event which nodes hold the lease.
class StoreLeaseZone {
 public:
  struct Node {
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<StoreLease> lease;
  };

  explicit StoreLeaseZone(std::uint64_t seed, double drift = 0) : world(seed), drift_(drift) {
    world.after_each_event = [this] { check(); };
  }

  static common::Address address(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }

  void start(int index) {
    stop(index);
    auto& process = world.spawn({address(index), ++next_incarnation_}, "hall-a",
                                1.0 + drift_ * (2 * world.random.unit() - 1));
    membership::MembershipSettings settings;
    settings.machine = "machine-" + std::to_string(index);
    settings.seeds = {address(1), address(2)};
    Node& node = nodes[index];
    contexts_[index] = std::make_unique<api::ProcessContext>(process.context());
    node.membership =
        std::make_unique<membership::Membership>(settings, process.context(), process);
    node.lease = std::make_unique<StoreLease>(lease_settings, leaseKey("hall-a"), *contexts_[index],
                                              *node.membership, process);
    node.membership->start();
    node.lease->start();
  }
  void startAll(int count) {
    for (int index = 1; index <= count; ++index) {
      start(index);
    }
  }
  void stop(int index) {
    nodes.erase(index);
    world.kill(address(index));
    contexts_.erase(index);
  }
  std::optional<int> holder() const {
    for (const auto& [index, node] : nodes) {
      if (node.lease->heldEpoch()) {
        return index;
      }
    }
    return std::nullopt;
  }
  /// Runs the world; the lease is needed at each node that considers itself the next holder.
  void run(Duration length) {
    const auto end = world.now() + length;
    while (world.now() < end) {
      for (const auto& [index, node] : nodes) {
        node.lease->setNeeded(wanted && node.lease->believedHolder() == node.membership->self());
      }
      world.runFor(std::min<Duration>(20ms, end - world.now()));
    }
  }
  std::optional<Duration> awaitHolder(Duration limit, std::optional<int> other_than = {}) {
    const auto begin = world.now();
    while (world.now() - begin < limit) {
      const auto index = holder();
      if (index && index != other_than && !world.paused(address(*index))) {
        return world.now() - begin;
      }
      run(20ms);
    }
    return std::nullopt;
  }
  void apply(const Fault& fault, int count) {
    const int index = 1 + fault.node % count;
    switch (fault.kind) {
      case FaultKind::kRestart:
        start(index);
        break;
      case FaultKind::kKill:
        stop(index);
        break;
      case FaultKind::kPause:
        pause(index, fault.pattern);
        break;
      case FaultKind::kPauseHolder:
        if (const auto current = holder()) {
          pause(*current, fault.pattern);
          ++pauses_of_holder;
        }
        break;
      case FaultKind::kStoreUnreachable:
        world.setStoreReachable(address(index), false);
        break;
      case FaultKind::kStoreUnreachableForHolder:
        if (const auto current = holder()) {
          world.setStoreReachable(address(*current), false);
          ++store_cuts_of_holder;
        }
        break;
      case FaultKind::kStoreDown:
        world.store.down = true;
        break;
      case FaultKind::kHeal:
        heal(count);
        break;
      case FaultKind::kCutPeers:
        for (int node = 1; node <= count; ++node) {
          world.setGroup(address(node), static_cast<int>((fault.pattern >> node) & 1U));
        }
        break;
    }
  }
  void heal(int count) {
    world.healNetwork();
    world.store.down = false;
    for (int node = 1; node <= count; ++node) {
      world.setStoreReachable(address(node), true);
    }
  }

  VirtualWorld world;
  StoreLeaseSettings lease_settings;
  bool wanted = true;
  std::map<int, Node> nodes;
  std::string violation;
  std::uint64_t holders = 0;
  std::uint64_t pauses_of_holder = 0;
  std::uint64_t store_cuts_of_holder = 0;

 private:
  void pause(int index, std::uint32_t pattern) {
    world.pause(address(index), std::chrono::milliseconds(200 + pattern % 6000));
  }
  void report(const std::string& what) {
    if (violation.empty()) {
      violation = what + " at " + std::to_string(common::toSeconds(world.now())) + " s";
    }
  }
  /// Only one node holds the lease at a time; the next one not before the handover gap has passed,
  /// and under a higher term.
  void check() {
    for (const auto& [index, node] : nodes) {
      const auto epoch = node.lease ? node.lease->heldEpoch() : std::nullopt;
      if (!epoch) {
        continue;
      }
      const common::NodeId& self = node.membership->self();
      if (self != last_holder_) {
        holders += 1;
        // Clock rates differ by a few percent.
        const auto least = lease_settings.handover_gap * 19 / 20;
        if (last_held_ && world.now() - *last_held_ < least) {
          report("next holder before the end of the handover gap");
        }
        if (*epoch <= last_epoch_) {
          report("term does not increase");
        }
      } else if (*epoch < last_epoch_) {
        report("term decreases");
      }
      last_holder_ = self;
      last_epoch_ = *epoch;
      last_held_ = world.now();
    }
  }

  double drift_;
  std::uint64_t next_incarnation_ = 0;
  std::map<int, std::unique_ptr<api::ProcessContext>> contexts_;
  common::NodeId last_holder_;
  common::Epoch last_epoch_;
  std::optional<Duration> last_held_;
};

inline rc::Gen<std::vector<Fault>> faultSchedule() {
  const auto kinds =
      rc::gen::weightedElement<FaultKind>({{3, FaultKind::kRestart},
                                           {1, FaultKind::kKill},
                                           {2, FaultKind::kPause},
                                           {3, FaultKind::kPauseHolder},
                                           {1, FaultKind::kStoreUnreachable},
                                           {2, FaultKind::kStoreUnreachableForHolder},
                                           {1, FaultKind::kStoreDown},
                                           {6, FaultKind::kHeal},
                                           {2, FaultKind::kCutPeers}});
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, kinds), rc::gen::set(&Fault::node, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::pattern, rc::gen::inRange<std::uint32_t>(0, 1U << 16)),
      rc::gen::set(&Fault::wait_ms, rc::gen::inRange<std::int64_t>(50, 5000)));
  return rc::gen::container<std::vector<Fault>>(kFaultsPerRun, fault);
}

}  // namespace cypresswall::lease::testing
