/// A small network of processes in virtual time for tests of single subsystems, with message delay
/// and loss, partitions, paused and ended processes, clock drift, and faults of the store and the
/// machine list. A run is determined by its seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/object_store/machine_list.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::testing {

class VirtualWorld;

/// The platform's store with faults, shared by all processes of a world.
class VirtualStore {
 public:
  bool down = false;
  /// Fraction of writes that take effect but whose answer is lost.
  double lost_answers = 0;
  /// Fraction of writes that get no answer and take effect seconds later, if their condition still
  /// holds then.
  double late_writes = 0;
  std::map<std::string, object_store::StoredObject> objects;
  std::uint64_t writes = 0;
  std::uint64_t answers_lost = 0;
  std::uint64_t late_effects = 0;

  /// Takes the copy from which restore() restores.
  void copy() { copy_ = objects; }
  /// Loses all writes since the copy and begins a new incarnation.
  void restore() {
    objects = copy_;
    ++incarnation;
  }

  /// \return the object as written, or std::nullopt if the stored version is another.
  std::optional<object_store::StoredObject> write(const object_store::ObjectWrite& write);

  std::uint64_t incarnation = 1;

 private:
  std::map<std::string, object_store::StoredObject> copy_;
};

/// One process: clock, timers, transport and clients. Destroying it drops all its callbacks.
class VirtualProcess final : public common::Clock,
                             public common::Scheduler,
                             public api::PeerTransport,
                             public object_store::ObjectStore,
                             public object_store::MachineList {
 public:
  VirtualProcess(VirtualWorld& world, common::NodeId node, common::ZoneName zone,
                 double clock_rate);

  api::ProcessContext context();
  const common::NodeId& node() const { return node_; }
  common::CounterRegistry& counters() { return counters_; }

  common::MonotonicTime now() const override;
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override;
  void cancel(common::TimerId timer) override;
  void send(api::Envelope envelope) override;
  void get(const std::string& key,
           object_store::StoreCallback<object_store::StoredObject> callback) override;
  void compareAndSet(object_store::ObjectWrite write,
                     object_store::StoreCallback<object_store::StoredObject> callback) override;
  void list(const std::string& prefix,
            object_store::StoreCallback<object_store::ObjectListing> callback) override;
  void watch(const std::string& prefix, std::uint64_t revision,
             object_store::StoreCallback<object_store::ObjectListing> callback) override;
  /// Known from the process's start, and then from answers of the store.
  std::uint64_t incarnation() const override { return incarnation_; }
  void fetch(const common::ZoneName& zone, object_store::MachineListCallback callback) override;

 private:
  friend class VirtualWorld;
  template <typename Value>
  void answerLater(object_store::StoreCallback<Value> callback,
                   std::function<object_store::StoreResult<Value>()> work);

  VirtualWorld& world_;
  common::NodeId node_;
  common::ZoneName zone_;
  double clock_rate_;
  std::uint64_t serial_;
  common::CounterRegistry counters_;
  api::MessageDispatcher dispatcher_;
  common::SeededRandom random_;
  std::set<common::TimerId> timers_;
  std::uint64_t incarnation_ = 0;
  common::Duration paused_until_{0};
};

class VirtualWorld {
 public:
  explicit VirtualWorld(std::uint64_t seed) : random(seed) {}

  /// Starts a process; a running process at the same address is ended first.
  VirtualProcess& spawn(const common::NodeId& node, const common::ZoneName& zone,
                        double clock_rate = 1.0);
  /// Ends a process; its memory and pending callbacks are discarded.
  void kill(const common::Address& address);
  /// Pauses a process for `length`; messages that arrive meanwhile are handled afterwards.
  void pause(const common::Address& address, common::Duration length);
  bool running(const common::Address& address) const { return processes_.contains(address); }
  bool paused(const common::Address& address) const;
  VirtualProcess& process(const common::Address& address) const { return *processes_.at(address); }

  /// Assigns an address to a partition; processes in different groups can't reach each other.
  void setGroup(const common::Address& address, int group) { groups_[address] = group; }
  void healNetwork() { groups_.clear(); }
  /// Sets whether a process can reach the platform: store and machine list.
  void setStoreReachable(const common::Address& address, bool reachable);

  common::Duration now() const { return now_; }
  void runFor(common::Duration length) { runUntil(now_ + length); }
  void runUntil(common::Duration end);
  /// Runs `callback` at a true time, independent of the processes' clocks.
  void at(common::Duration time, std::function<void()> callback);
  /// Called with every message that a process sends.
  std::function<void(const api::Envelope&)> on_send;
  /// Called after every event.
  std::function<void()> after_each_event;

  common::SeededRandom random;
  common::Duration minimum_delay = std::chrono::microseconds(200);
  common::Duration maximum_delay = std::chrono::milliseconds(5);
  double message_loss = 0;
  VirtualStore store;
  std::vector<object_store::Machine> machines;
  bool machine_list_down = false;
  std::uint64_t machine_list_reads = 0;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;

 private:
  friend class VirtualProcess;
  struct Event {
    /// Serial number of the owning process; zero for none.
    std::uint64_t owner = 0;
    common::Address address;
    std::function<void()> run;
  };
  void post(common::Duration time, Event event);
  bool reachable(const common::Address& from, const common::Address& to) const;
  common::Duration networkDelay();
  VirtualProcess* owner(const Event& event) const;

  common::Duration now_{0};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_serial_ = 1;
  std::map<std::pair<common::Duration, std::uint64_t>, Event> queue_;
  std::map<common::Address, std::unique_ptr<VirtualProcess>> processes_;
  std::map<common::Address, int> groups_;
  std::set<common::Address> store_unreachable_;
};

}  // namespace cypresswall::testing
