/// A zone of nodes with membership and lease in a virtual world, fault injection, and invariants
/// that are checked after every event.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cypresswall/lease/zone_authority.h"
#include "cypresswall/membership/membership.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::testing {

enum class FaultKind : std::uint8_t {
  kKill,
  kRestart,  ///< ends the process, if it runs, and starts a new incarnation at its address
  kPause,
  kPauseHolder,
  kCut,  ///< partitions the zone in two according to the pattern's bits
  kHeal,
  kStore,        ///< toggles a store outage
  kPlannedStop,  ///< announced, then ended and listed as gone
  kReplace,      ///< ended and listed as gone without notice
};

/// One step of a fault schedule.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  std::uint8_t node = 0;
  std::uint32_t pattern = 0;
  /// Time until the next fault.
  std::int64_t wait_ms = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{kind " << static_cast<int>(fault.kind) << ", node "
             << static_cast<int>(fault.node) << ", pattern " << fault.pattern << ", wait "
             << fault.wait_ms << "}";
}

/// Counts of events in a run, so that a test can require that faults actually occurred.
struct RunCounts {
  std::uint64_t kills = 0;
  std::uint64_t restarts = 0;
  std::uint64_t pauses = 0;
  std::uint64_t pauses_of_holder = 0;
  std::uint64_t cuts = 0;
  std::uint64_t store_outages = 0;
  std::uint64_t departures = 0;
  std::uint64_t acquisitions = 0;
  /// Committed voter sets whose members differ from those of the previous set.
  std::uint64_t voter_changes = 0;
  std::uint64_t generations = 0;
  std::uint64_t committed_records = 0;
  std::uint64_t checks = 0;
};

class LeaseZone {
 public:
  /// From the announcement of a planned stop to the end of the process.
  static constexpr common::Duration kDepartureTime = std::chrono::seconds(2);

  struct Node {
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<lease::ZoneAuthority> authority;
  };

  explicit LeaseZone(std::uint64_t seed, double clock_drift = 0)
      : world(seed), drift_(clock_drift) {
    world.after_each_event = [this] { check(); };
    world.on_send = [this](const api::Envelope& envelope) { checkProposal(envelope); };
  }

  static common::Address address(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }
  static std::string machine(int index) { return "machine-" + std::to_string(index); }

  lease::ZoneAuthority& start(int index) {
    stop(index);
    const auto fixed_rate = clock_rates.find(index);
    const double rate = fixed_rate != clock_rates.end()
                            ? fixed_rate->second
                            : 1.0 + drift_ * (2 * world.random.unit() - 1);
    auto& process = world.spawn({address(index), ++next_incarnation_}, "hall-a", rate);
    setMachine(index, object_store::MachineState::kLive);
    membership::MembershipSettings settings;
    settings.machine = machine(index);
    settings.seeds = {address(1), address(2)};
    Node& node = nodes[index];
    node.membership =
        std::make_unique<membership::Membership>(settings, process.context(), process);
    node.authority = std::make_unique<lease::ZoneAuthority>(lease_settings, process.context(),
                                                            *node.membership, process);
    node.authority->onChange([this, index](std::optional<common::Epoch> epoch) {
      if (epoch) {
        acquired(index, *epoch);
      }
    });
    node.membership->start();
    node.authority->start();
    if (on_start) {
      on_start(index, process);
    }
    return *node.authority;
  }
  void startAll(int count) {
    for (int index = 1; index <= count; ++index) {
      start(index);
    }
  }
  /// Ends a process without notice.
  void stop(int index) {
    if (before_stop) {
      before_stop(index);
    }
    nodes.erase(index);
    world.kill(address(index));
  }
  void setMachine(int index, object_store::MachineState state) {
    for (auto& entry : world.machines) {
      if (entry.name == machine(index)) {
        entry.state = state;
        return;
      }
    }
    world.machines.push_back(
        {machine(index), "hall-a", state, {"10.0.0." + std::to_string(index)}});
  }

  /// \return the index of the node that holds the lease now, if one does.
  std::optional<int> holder() const {
    for (const auto& [index, node] : nodes) {
      if (node.authority->heldEpoch()) {
        return index;
      }
    }
    return std::nullopt;
  }
  /// Runs until a node that is not paused holds the lease.
  /// \return the time it took, or nothing if `limit` passed
  std::optional<common::Duration> awaitHolder(common::Duration limit) {
    const auto begin = world.now();
    while (world.now() - begin < limit) {
      const auto index = holder();
      if (index && !world.paused(address(*index))) {
        return world.now() - begin;
      }
      world.runFor(std::chrono::milliseconds(5));
    }
    return std::nullopt;
  }

  /// Replicates the next value of the test's counter on the holder.
  void writeRecord() {
    const auto index = holder();
    if (!index || world.paused(address(*index))) {
      return;
    }
    auto& authority = *nodes.at(*index).authority;
    const auto generation = authority.heldEpoch()->generation;
    const std::uint64_t value = ++written_;
    authority.replicate(lease::RecordModule::kOrders, "counter", std::to_string(value),
                        [this, value, generation](bool committed) {
                          if (committed) {
                            ++counts.committed_records;
                            auto& newest = committed_[generation];
                            newest = std::max(newest, value);
                          }
                        });
  }

  /// Injects one fault into a zone of `count` nodes.
  void apply(const Fault& fault, int count) {
    const int index = 1 + static_cast<int>(fault.node) % count;
    switch (fault.kind) {
      case FaultKind::kKill:
        counts.kills += nodes.contains(index) ? 1 : 0;
        stop(index);
        break;
      case FaultKind::kRestart:
        ++counts.restarts;
        start(index);
        break;
      case FaultKind::kPause:
        pause(index, fault.pattern);
        break;
      case FaultKind::kPauseHolder:
        if (const auto current = holder()) {
          ++counts.pauses_of_holder;
          pause(*current, fault.pattern);
        }
        break;
      case FaultKind::kCut:
        ++counts.cuts;
        for (int node = 1; node <= count; ++node) {
          world.setGroup(address(node), static_cast<int>((fault.pattern >> node) & 1U));
        }
        break;
      case FaultKind::kHeal:
        world.healNetwork();
        break;
      case FaultKind::kStore:
        world.store.down = !world.store.down;
        counts.store_outages += world.store.down ? 1 : 0;
        break;
      case FaultKind::kPlannedStop:
        depart(index);
        break;
      case FaultKind::kReplace:
        ++counts.departures;
        stop(index);
        setMachine(index, object_store::MachineState::kGone);
        break;
    }
  }
  /// Removes all faults, lets planned stops finish and starts every node that is not running.
  void endFaults(int count) {
    world.healNetwork();
    world.store.down = false;
    world.store.lost_answers = 0;
    world.message_loss = 0;
    world.runFor(kDepartureTime);
    for (int index = 1; index <= count; ++index) {
      if (!nodes.contains(index)) {
        start(index);
      }
    }
  }

  /// \return each node's knowledge of the zone's voters, for counterexamples.
  std::string describe() const {
    std::ostringstream text;
    for (const auto& [index, node] : nodes) {
      const auto& set = node.authority->voter().newestSet();
      text << node.membership->self().toString() << ": set " << set.version.generation << "."
           << set.version.term << "." << set.version.index << " of";
      for (const auto& member : set.members) {
        text << " " << member.toString();
        text << (node.membership->confirmedDead(member) ? "(dead)" : "");
      }
      text << ", anchors";
      for (const auto& anchor : set.anchors) {
        text << " [";
        for (const auto& member : anchor) {
          text << " " << member.toString();
        }
        text << " ]";
      }
      text << ", promised " << node.authority->voter().promised().toString() << ", members "
           << node.membership->members().size() << ", campaigns "
           << counterTotal(index, "cypresswall_lease_campaigns_total") << ", acquired "
           << counterTotal(index, "cypresswall_lease_acquired_total") << ", lost "
           << counterTotal(index, "cypresswall_lease_lost_total") << "\n";
    }
    for (const auto& [key, object] : world.store.objects) {
      text << key << " = " << object.value << "\n";
    }
    return text.str();
  }

  double counterTotal(int index, const std::string& name) const {
    return world.process(address(index)).counters().total(name);
  }

  VirtualWorld world;
  lease::LeaseSettings lease_settings;
  /// Fixed clock rates by node; the rates of other nodes are random.
  std::map<int, double> clock_rates;
  std::map<int, Node> nodes;
  RunCounts counts;
  std::function<void(int, VirtualProcess&)> on_start;
  std::function<void(int)> before_stop;
  /// The first violated invariant; empty if there is none.
  std::string violation;

 private:
  void pause(int index, std::uint32_t pattern) {
    ++counts.pauses;
    world.pause(address(index), std::chrono::milliseconds(200 + pattern % 3000));
  }
  /// Announces that a machine is leaving; later ends its process and lists the machine as gone.
  void depart(int index) {
    if (!nodes.contains(index)) {
      return;
    }
    ++counts.departures;
    nodes.at(index).membership->announceLeaving();
    nodes.at(index).authority->resign();
    setMachine(index, object_store::MachineState::kLeaving);
    const auto incarnation = nodes.at(index).membership->self().incarnation;
    world.at(world.now() + kDepartureTime, [this, index, incarnation] {
      const auto node = nodes.find(index);
      if (node != nodes.end() && node->second.membership->self().incarnation == incarnation) {
        stop(index);
        setMachine(index, object_store::MachineState::kGone);
      }
    });
  }
  void acquired(int index, const common::Epoch& epoch) {
    ++counts.acquisitions;
    if (epoch <= highest_epoch_) {
      report("epoch " + epoch.toString() + " after " + highest_epoch_.toString());
    }
    counts.generations += epoch.generation > highest_epoch_.generation ? 1 : 0;
    highest_epoch_ = std::max(highest_epoch_, epoch);
    const auto records = nodes.at(index).authority->records(lease::RecordModule::kOrders);
    const auto counter = records.find("counter");
    const std::uint64_t held = counter == records.end() ? 0 : std::stoull(counter->second);
    if (held < committed_[epoch.generation]) {
      report("committed record " + std::to_string(committed_[epoch.generation]) + " lost, " +
             std::to_string(held) + " found under epoch " + epoch.toString());
    }
  }
  void check() {
    ++counts.checks;
    int holders = 0;
    for (const auto& [index, node] : nodes) {
      if (node.authority && node.authority->heldEpoch()) {
        ++holders;
        const auto& members = node.authority->voterSet().members;
        counts.voter_changes += members != last_members_ ? 1 : 0;
        last_members_ = members;
      }
    }
    if (holders > 1) {
      report("two holders at once");
    }
  }
  /// The first set that a holder proposes must have the members of an earlier set: a holder commits
  /// the newest set again before it changes it. Otherwise two successive holders that both started
  /// by changing the same set could each find a quorum.
  void checkProposal(const api::Envelope& envelope) {
    if (envelope.type != lease::LeaseRequest::kType) {
      return;
    }
    for (const auto& set : api::decodeBody<lease::LeaseRequest>(envelope.body).set) {
      const auto& version = set.version;
      const auto [proposed, added] = proposed_sets_.try_emplace(version, set.members);
      if (!added || version.index != 0 || version.term == 0) {
        continue;
      }
      const bool known = std::any_of(proposed_sets_.begin(), proposed, [&](const auto& earlier) {
        return earlier.first.generation == version.generation && earlier.second == set.members;
      });
      if (!known) {
        report("first set of term " + std::to_string(version.term) + " has changed members");
      }
    }
  }
  void report(const std::string& what) {
    if (violation.empty()) {
      violation = what + " at " + std::to_string(common::toSeconds(world.now())) + " s";
    }
  }

  double drift_;
  std::uint64_t next_incarnation_ = 0;
  std::uint64_t written_ = 0;
  /// Highest committed value of the counter, by generation.
  std::map<std::uint32_t, std::uint64_t> committed_;
  common::Epoch highest_epoch_;
  std::map<lease::VoterSetVersion, lease::NodeList> proposed_sets_;
  lease::NodeList last_members_;
};

}  // namespace cypresswall::testing
