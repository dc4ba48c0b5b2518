/// A simulated fleet of configuration replicas with real membership and gossip, on one emulated
/// store.
#pragma once

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/configuration/change_encoding.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/configuration/object_codec.h"
#include "cypresswall/emulation/machine_list.h"
#include "cypresswall/emulation/object_store.h"
#include "cypresswall/membership/membership.h"
#include "cypresswall/membership/zone_gossip.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::configuration::testing {

/// The store shared by the fleet, and the zones that can't reach it.
struct SharedStore {
  explicit SharedStore(simulation::Simulation& simulation)
      : objects(simulation.time(), simulation.time()) {}

  emulation::EmulatedObjectStore objects;
  std::set<common::ZoneName> unreachable_from;
  /// Number of reads still to be answered "not found", as by a stale copy of the store.
  std::uint32_t stale_reads = 0;
  std::uint64_t stale_reads_given = 0;
};

/// A process's client of the shared store.
class StoreClient final : public object_store::ObjectStore {
 public:
  StoreClient(simulation::SimulatedProcess& process, SharedStore& store)
      : process_(process), store_(store) {}

  void get(const std::string& key,
           object_store::StoreCallback<object_store::StoredObject> callback) override {
    if (store_.stale_reads > 0) {
      --store_.stale_reads;
      ++store_.stale_reads_given;
      answer<object_store::StoredObject>(callback,
                                         {object_store::StoreFailure::kNotFound, "stale"});
    } else if (reachable(callback)) {
      store_.objects.get(key, back(std::move(callback)));
    }
  }
  void compareAndSet(object_store::ObjectWrite write,
                     object_store::StoreCallback<object_store::StoredObject> callback) override {
    if (reachable(callback)) {
      store_.objects.compareAndSet(
          std::move(write), back(std::move(callback), object_store::StoreFailure::kUnknownOutcome));
    }
  }
  void list(const std::string& prefix,
            object_store::StoreCallback<object_store::ObjectListing> callback) override {
    if (reachable(callback)) {
      store_.objects.list(prefix, back(std::move(callback)));
    }
  }
  void watch(const std::string& prefix, std::uint64_t revision,
             object_store::StoreCallback<object_store::ObjectListing> callback) override {
    if (reachable(callback)) {
      store_.objects.watch(prefix, revision, back(std::move(callback)));
    }
  }

 private:
  static constexpr common::Duration kDelay = std::chrono::milliseconds(3);

  template <typename Value>
  void answer(object_store::StoreCallback<Value> callback,
              common::Failure<object_store::StoreFailure> failure) {
    process_.deliverAfter(kDelay, [callback = std::move(callback), failure = std::move(failure)] {
      callback(failure);
    });
  }
  template <typename Value>
  bool reachable(const object_store::StoreCallback<Value>& callback) {
    if (store_.unreachable_from.count(process_.zone()) == 0) {
      return true;
    }
    answer<Value>(callback, {object_store::StoreFailure::kUnavailable, "no path to the store"});
    return false;
  }
  /// Wraps `callback` for the case that the process is dead or partitioned when the store answers.
  template <typename Value>
  object_store::StoreCallback<Value> back(
      object_store::StoreCallback<Value> callback,
      object_store::StoreFailure cut = object_store::StoreFailure::kUnavailable) {
    return [process = &process_, store = &store_, cut,
            callback = std::move(callback)](object_store::StoreResult<Value> result) {
      if (store->unreachable_from.count(process->zone()) > 0) {
        result = common::Failure<object_store::StoreFailure>{cut, "the path to the store was cut"};
      }
      process->deliverAfter(kDelay, [callback, result = std::move(result)] { callback(result); });
    };
  }

  simulation::SimulatedProcess& process_;
  SharedStore& store_;
};

class MachineClient final : public object_store::MachineList {
 public:
  MachineClient(simulation::SimulatedProcess& process, emulation::EmulatedMachineList& machines)
      : process_(process), machines_(machines) {}
  void fetch(const common::ZoneName& zone, object_store::MachineListCallback callback) override {
    machines_.fetch(zone, [process = &process_, callback = std::move(callback)](auto result) {
      process->deliverAfter(std::chrono::milliseconds(1),
                            [callback, result = std::move(result)] { callback(result); });
    });
  }

 private:
  simulation::SimulatedProcess& process_;
  emulation::EmulatedMachineList& machines_;
};

class ReplicaFleet {
 public:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    ConfigurationReplica* replica = nullptr;
    common::Address address;
    int zone = 0;
  };
  struct Submission {
    ConfigurationChangeRequest request;
    /// Process that it was submitted to; it must answer as long as it is alive.
    const simulation::SimulatedProcess* process = nullptr;
    bool answered = false;
    CommitResult result;

    /// \return true if an answer is still outstanding.
    bool open() const { return process != nullptr && process->alive() && !answered; }
  };

  ReplicaFleet(std::uint64_t seed, int zones, int nodes_per_zone,
               simulation::NetworkSettings network = {})
      : simulation(seed, network),
        store(simulation),
        machines(std::chrono::milliseconds(500), simulation.time(), simulation.time()),
        zones_(zones),
        nodes_per_zone_(nodes_per_zone) {
    for (int zone = 0; zone < zones; ++zone) {
      for (int node = 0; node < nodes_per_zone; ++node) {
        nodes.push_back(Node{nullptr, nullptr, addressOf(zone, node), zone});
        start(nodes.size() - 1);
      }
    }
  }

  static std::string authorOf(const std::string& change_id) {
    return std::string("operator-").append(change_id);
  }
  static std::string zoneName(int zone) {
    return std::string("zone-").append(std::to_string(zone));
  }

  /// Starts or replaces the process of a node, without any retained state.
  void start(std::size_t index) {
    Node& node = nodes[index];
    node.process = &simulation.start(node.address, zoneName(node.zone));
    auto& client = node.process->emplace<StoreClient>(*node.process, store);
    auto& machine_client = node.process->emplace<MachineClient>(*node.process, machines);
    const auto& context = node.process->context();
    const auto settings = membershipSettings(node.zone);
    auto& membership =
        node.process->emplace<membership::Membership>(settings, context, machine_client);
    auto& gossip = node.process->emplace<membership::ZoneGossip>(settings, context, membership);
    node.replica = &node.process->emplace<ConfigurationReplica>(ConfigurationSettings{}, context,
                                                                membership, gossip, client);
    node.replica->onChange(
        [this, last = std::uint64_t{0}](const FleetConfiguration& configuration) mutable {
          version_regressed = version_regressed || configuration.version <= last;
          last = configuration.version;
          newest_seen = std::max(newest_seen, last);
        });
    membership.start();
    gossip.start();
    node.replica->start();
  }

  void runFor(common::Duration duration) { simulation.time().runFor(duration); }

  /// Submits `objects`, or by default the declaration of a tenant, to a node if it is running.
  /// \return index of the submission
  std::size_t submit(std::size_t index, const std::string& change_id,
                     std::vector<ObjectChange> objects = {}, bool late_delivery = false) {
    const std::size_t number = submissions.size();
    if (objects.empty()) {
      const TenantDeclaration tenant{change_id, "key-" + change_id, 1, 1};
      objects = {setObject(ObjectKind::kTenant, change_id, tenant)};
    }
    ConfigurationChangeRequest request;
    request.objects = std::move(objects);
    request.change_id = change_id;
    request.author = authorOf(change_id);
    request.late_delivery = late_delivery;
    submissions.push_back(Submission{std::move(request), nullptr, false, {}});
    Node& node = nodes[index];
    if (node.process->alive() && !node.process->paused()) {
      submissions[number].process = node.process;
      node.replica->submit(submissions[number].request, [this, number](CommitResult result) {
        submissions[number].answered = true;
        submissions[number].result = std::move(result);
        if (after_answer) {
          after_answer(submissions[number]);
        }
      });
    }
    return number;
  }

  /// Submits a change and runs until the answer.
  CommitResult commit(std::size_t index, const std::string& change_id,
                      std::vector<ObjectChange> objects = {}) {
    const std::size_t number = submit(index, change_id, std::move(objects));
    simulation.time().runUntilTrue([&] { return submissions[number].answered; },
                                   std::chrono::seconds(30));
    return submissions[number].result;
  }

  /// Declares all zones of the fleet, so that later changes need the approval of each.
  CommitResult declareZones() {
    std::vector<ObjectChange> objects;
    for (int zone = 0; zone < zones_; ++zone) {
      const ZoneDeclaration declaration{zoneName(zone), "region"};
      objects.push_back(setObject(ObjectKind::kZone, declaration.name, declaration));
    }
    return commit(0, "zones", std::move(objects));
  }

  /// \return true if every node is ready at the version, with the same history.
  bool allAt(std::uint64_t version) const {
    const ChainDigest digest = nodes.front().replica->log().digest();
    return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
      return node.replica->ready() && node.replica->log().version() == version &&
             node.replica->log().digest() == digest;
    });
  }
  /// Runs until every node is at the version. \return whether that happened within `limit`
  bool convergesTo(std::uint64_t version, common::Duration limit) {
    return simulation.time().runUntilTrue([&] { return allAt(version); }, limit);
  }

  simulation::Simulation simulation;
  SharedStore store;
  emulation::EmulatedMachineList machines;
  std::vector<Node> nodes;
  std::vector<Submission> submissions;
  std::function<void(const Submission&)> after_answer;
  std::uint64_t newest_seen = 0;
  /// True if any node ever moved to a version not higher than its previous one.
  bool version_regressed = false;

 private:
  static common::Address addressOf(int zone, int node) {
    std::string address("10.0.");
    address.append(std::to_string(zone)).append(".").append(std::to_string(node + 1));
    return address.append(":7000");
  }

  membership::MembershipSettings membershipSettings(int zone) const {
    membership::MembershipSettings settings;
    settings.region = "region";
    for (int node = 0; node < nodes_per_zone_; ++node) {
      settings.seeds.push_back(addressOf(zone, node));
    }
    for (int other = 0; other < zones_; ++other) {
      if (other != zone) {
        settings.other_zones.push_back(
            {zoneName(other), "region", {addressOf(other, 0), addressOf(other, 1)}});
      }
    }
    return settings;
  }

  int zones_;
  int nodes_per_zone_;
};

}  // namespace cypresswall::configuration::testing
