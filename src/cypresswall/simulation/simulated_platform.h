/// Platform of a simulated run (object store and machine list), and the clients through which the
/// daemon processes access the platform. The platform is in a zone of its own, so that any zone of
/// daemons can be cut off from the platform.
#pragma once

#include <string>

#include "cypresswall/emulation/machine_list.h"
#include "cypresswall/emulation/object_store.h"
#include "cypresswall/object_store/machine_list.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

struct PlatformSettings {
  /// Time until a change becomes visible in the machine list.
  common::Duration machine_list_lag = std::chrono::milliseconds(500);
  /// Whether the store names its incarnation.
  bool names_incarnation = false;
};

class SimulatedPlatform {
 public:
  /// Name of the platform's zone, for use in cuts.
  static constexpr const char* kZone = "platform";

  explicit SimulatedPlatform(Simulation& simulation, PlatformSettings settings = {});

  emulation::EmulatedObjectStore& store() { return store_; }
  emulation::EmulatedMachineList& machines() { return machines_; }
  static NetworkEndpoint place() { return {"platform:1", kZone}; }

  /// Starts or ends an outage of store and machine list. The outage is counted as a fault when it
  /// starts.
  void setDown(bool down);
  /// Sets the delay of every call to the store. Counts a fault if the delay increases.
  void setSlow(common::Duration delay);
  /// Drops the responses to the next `count` writes.
  void loseAnswers(std::uint32_t count);
  /// Makes the next watch response omit changes, and counts the fault.
  void leaveWatchGap();
  /// Restores the store to its state `revisions` revisions ago, and counts the fault.
  void restore(std::uint64_t revisions);
  /// \return the store's incarnation; zero if the store names none
  std::uint64_t incarnation() const;
  /// Changes the state of a machine in the machine list to leaving or gone, and counts the fault.
  void setMachineState(const common::MachineName& machine, object_store::MachineState state);

 private:
  Simulation& simulation_;
  const bool names_incarnation_;
  emulation::EmulatedObjectStore store_;
  emulation::EmulatedMachineList machines_;
};

class SimulatedObjectStore final : public object_store::ObjectStore {
 public:
  SimulatedObjectStore(Simulation& simulation, SimulatedProcess& process,
                       SimulatedPlatform& platform);

  void get(const std::string& key,
           object_store::StoreCallback<object_store::StoredObject> callback) override;
  void compareAndSet(object_store::ObjectWrite write,
                     object_store::StoreCallback<object_store::StoredObject> callback) override;
  void list(const std::string& prefix,
            object_store::StoreCallback<object_store::ObjectListing> callback) override;
  void watch(const std::string& prefix, std::uint64_t revision,
             object_store::StoreCallback<object_store::ObjectListing> callback) override;
  std::uint64_t incarnation() const override { return platform_.incarnation(); }

 private:
  template <typename Value, typename Request>
  void ask(common::Duration time_limit, object_store::StoreFailure unknown, Request request,
           object_store::StoreCallback<Value> callback);

  Simulation& simulation_;
  ExternalPath path_;
  SimulatedPlatform& platform_;
};

class SimulatedMachineList final : public object_store::MachineList {
 public:
  SimulatedMachineList(Simulation& simulation, SimulatedProcess& process,
                       SimulatedPlatform& platform);
  void fetch(const common::ZoneName& zone, object_store::MachineListCallback callback) override;

 private:
  ExternalPath path_;
  SimulatedPlatform& platform_;
};

}  // namespace cypresswall::simulation
