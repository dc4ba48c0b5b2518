/// A zone of nodes that follow one topic of a scripted store, in the simulator's virtual time.
#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/simulation/simulation.h"
#include "cypresswall/store_relay/store_relay.h"
#include "tests/support/engine_world.h"

namespace cypresswall::store_relay::testing {

using cypresswall::testing::SettableMembership;

inline constexpr Topic kTopic = Topic::kListedEngines;
inline constexpr const char* kZone = "z";

/// A store of one kind of objects that keeps its whole history and can ignore some nodes.
class ScriptedStore {
 public:
  void put(const std::string& name, std::string content) {
    ++revision_;
    log_.push_back({name, revision_, false, std::move(content)});
    objects_[name] = log_.back().content;
  }
  void remove(const std::string& name) {
    ++revision_;
    log_.push_back({name, revision_, true, ""});
    objects_.erase(name);
  }
  /// Increments the revision, as a change of another kind of objects does.
  void changeElsewhere() { ++revision_; }

  std::vector<StoreChange> since(std::uint64_t revision) const {
    std::vector<StoreChange> changes;
    std::copy_if(log_.begin(), log_.end(), std::back_inserter(changes),
                 [&](const StoreChange& change) { return change.revision > revision; });
    return changes;
  }
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, std::string>& objects() const { return objects_; }

  std::uint64_t calls = 0;
  /// Addresses of nodes whose calls the store does not answer.
  std::vector<common::Address> unresponsive_to;

 private:
  std::uint64_t revision_ = 1;
  std::vector<StoreChange> log_;
  std::map<std::string, std::string> objects_;
};

/// Follows the store as a platform adapter does: one long poll at a time, which ends with a change
/// or after its poll time.
class ScriptedCopy final : public StoreCopy {
 public:
  static constexpr common::Duration kLatency = std::chrono::milliseconds(4);
  static constexpr common::Duration kStep = std::chrono::milliseconds(10);
  static constexpr common::Duration kRetry = std::chrono::milliseconds(400);

  ScriptedCopy(ScriptedStore& store, simulation::SimulatedProcess& process, StoreRelay& relay)
      : store_(store), process_(process), relay_(relay) {}

  std::uint64_t revision() const override { return revision_; }
  void beginIncarnation() override {
    revision_ = 0;
    ++call_;
    list();
  }
  bool callPending() const override { return asking_; }
  void fetchFromStore() override {
    if (revision_ == 0) {
      list();
    } else {
      ask(relay_.pollTime(kTopic).value_or(std::chrono::seconds(3)));
    }
  }
  std::vector<StoreChange> allObjects() const override {
    std::vector<StoreChange> all;
    for (const auto& [name, content] : objects) {
      all.push_back({name, revision_, false, content});
    }
    return all;
  }
  bool applyPeerChanges(const std::vector<StoreChange>& changes, std::uint64_t revision) override {
    if (revision < revision_) {
      return true;
    }
    for (const StoreChange& change : changes) {
      if (change.gone) {
        objects.erase(change.name);
      } else {
        objects[change.name] = change.content;
      }
    }
    revision_ = revision;
    return true;
  }

  std::map<std::string, std::string> objects;
  std::uint64_t calls = 0;

 private:
  /// Lists all objects, then follows changes.
  void list() {
    asking_ = true;
    ++calls;
    ++store_.calls;
    process_.deliverAfter(kLatency, [this] {
      const bool silent = std::find(store_.unresponsive_to.begin(), store_.unresponsive_to.end(),
                                    process_.id().address) != store_.unresponsive_to.end();
      if (silent) {
        process_.deliverAfter(kRetry, [this] { list(); });
        return;
      }
      if (store_.revision() < revision_) {
        return;
      }
      objects = store_.objects();
      revision_ = store_.revision();
      relay_.listed(kTopic, revision_);
      follow();
    });
  }
  void follow() {
    const auto poll_time = relay_.pollTime(kTopic);
    asking_ = poll_time.has_value();
    if (poll_time) {
      ask(*poll_time);
    }
  }
  void ask(common::Duration poll_time) {
    asking_ = true;
    ++calls;
    ++store_.calls;
    wait(++call_, poll_time);
  }
  void wait(std::uint64_t call, common::Duration left) {
    process_.deliverAfter(kStep, [this, call, left] {
      if (call != call_) {
        return;
      }
      const bool silent = std::find(store_.unresponsive_to.begin(), store_.unresponsive_to.end(),
                                    process_.id().address) != store_.unresponsive_to.end();
      const auto changes = store_.since(revision_);
      if (!silent && (!changes.empty() || left <= kStep)) {
        const std::uint64_t at = store_.revision();
        applyPeerChanges(changes, at);
        relay_.read(kTopic, changes, at);
        follow();
      } else if (left <= kStep) {
        process_.deliverAfter(kRetry, [this, call] {
          if (call == call_) {
            follow();
          }
        });
      } else {
        wait(call, left - kStep);
      }
    });
  }

  ScriptedStore& store_;
  simulation::SimulatedProcess& process_;
  StoreRelay& relay_;
  std::uint64_t revision_ = 0;
  std::uint64_t call_ = 0;
  bool asking_ = false;
};

class RelayZone {
 public:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    std::unique_ptr<SettableMembership> membership;
    StoreRelay* relay = nullptr;
    ScriptedCopy* copy = nullptr;
  };

  explicit RelayZone(int count, std::uint64_t seed = 1, StoreRelaySettings given = {})
      : simulation(seed), settings(given) {
    for (int number = 0; number < count; ++number) {
      nodes.push_back(makeNode(number));
    }
    showMembers();
    for (Node& node : nodes) {
      begin(node);
    }
  }

  /// Replaces the process of a node by a new incarnation, which knows nothing but the members; the
  /// other nodes learn of it.
  void restart(int number) {
    Node& node = nodes[static_cast<std::size_t>(number)];
    node = makeNode(number);
    showMembers();
    begin(node);
  }
  /// \return which node was restarted
  int restartNonReader() {
    int number = 0;
    while (reads(nodes[static_cast<std::size_t>(number)])) {
      ++number;
    }
    restart(number);
    return number;
  }

  static common::Address addressOf(int number) {
    constexpr int kHosts = 250;
    return "10.0." + std::to_string(number / kHosts) + "." + std::to_string(number % kHosts + 1) +
           ":7000";
  }

  /// Updates the membership of every node: ended processes become suspect.
  void showMembers() {
    std::vector<membership::Member> members;
    for (const Node& node : nodes) {
      members.push_back({node.process->id(), "",
                         node.process->alive() ? membership::MemberState::kAlive
                                               : membership::MemberState::kSuspect,
                         ""});
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    for (Node& node : nodes) {
      if (node.process->alive()) {
        node.membership->setMembers(members);
      }
    }
  }

  void run(common::Duration time) { simulation.time().runFor(time); }

  bool reads(const Node& node) const {
    return node.relay->pollTime(kTopic) == StoreRelaySettings{}.reader_poll_time;
  }
  std::vector<Node*> readers() {
    std::vector<Node*> found;
    for (Node& node : nodes) {
      if (node.process->alive() && reads(node)) {
        found.push_back(&node);
      }
    }
    return found;
  }
  /// \return the number of live nodes whose copy differs from the store
  int nodesBehind() const {
    return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [this](const Node& node) {
      return node.process->alive() && node.copy->objects != store.objects();
    }));
  }
  double total(const std::string& counter) const {
    double sum = 0;
    for (const Node& node : nodes) {
      sum += node.process->counters().total(counter);
    }
    return sum;
  }

  ScriptedStore store;
  simulation::Simulation simulation;
  StoreRelaySettings settings;
  std::vector<Node> nodes;

 private:
  Node makeNode(int number) {
    Node node;
    node.process = &simulation.start(addressOf(number), kZone);
    node.membership = std::make_unique<SettableMembership>(node.process->id(), kZone);
    node.relay = &node.process->emplace<StoreRelay>(
        settings, node.process->context(), *node.membership,
        node.process->emplace<StoreIncarnation>(node.process->context()));
    node.copy = &node.process->emplace<ScriptedCopy>(store, *node.process, *node.relay);
    return node;
  }
  static void begin(Node& node) {
    node.relay->follow(kTopic, *node.copy);
    node.relay->start();
  }
};

}  // namespace cypresswall::store_relay::testing
