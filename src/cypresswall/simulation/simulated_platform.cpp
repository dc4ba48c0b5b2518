#include "cypresswall/simulation/simulated_platform.h"

#include <algorithm>
#include <utility>

namespace cypresswall::simulation {
namespace {

constexpr common::Duration kStoreTimeLimit = std::chrono::seconds(3);
constexpr common::Duration kWatchTimeLimit =
    emulation::EmulatedObjectStore::kWatchTime + std::chrono::seconds(2);
constexpr common::Duration kMachineListTimeLimit = std::chrono::seconds(2);

}  // namespace

SimulatedPlatform::SimulatedPlatform(Simulation& simulation, PlatformSettings settings)
    : simulation_(simulation),
      names_incarnation_(settings.names_incarnation),
      store_(simulation.time(), simulation.time()),
      machines_(settings.machine_list_lag, simulation.time(), simulation.time()) {}

void SimulatedPlatform::setDown(bool down) {
  auto faults = store_.faults();
  if (down && !faults.down) {
    simulation_.faults().add(FaultKind::kStoreOutage);
  }
  faults.down = down;
  store_.setFaults(faults);
  machines_.setDown(down);
}

void SimulatedPlatform::setSlow(common::Duration delay) {
  auto faults = store_.faults();
  if (delay > faults.delay) {
    simulation_.faults().add(FaultKind::kStoreSlow);
  }
  faults.delay = delay;
  store_.setFaults(faults);
}

void SimulatedPlatform::loseAnswers(std::uint32_t count) {
  auto faults = store_.faults();
  faults.lose_next_answers += count;
  store_.setFaults(faults);
}

void SimulatedPlatform::leaveWatchGap() {
  auto faults = store_.faults();
  faults.watch_gap = true;
  store_.setFaults(faults);
  simulation_.faults().add(FaultKind::kStoreWatchGap);
}

void SimulatedPlatform::restore(std::uint64_t revisions) {
  const std::uint64_t now = store_.revision();
  store_.restoreToRevision(now - std::min(now, revisions));
  simulation_.faults().add(FaultKind::kStoreRestored);
}

std::uint64_t SimulatedPlatform::incarnation() const {
  return names_incarnation_ ? 1 + store_.ledger().restores : 0;
}

void SimulatedPlatform::setMachineState(const common::MachineName& machine,
                                        object_store::MachineState state) {
  for (object_store::Machine known : machines_.visible("")) {
    if (known.name == machine) {
      known.state = state;
      machines_.set(std::move(known));
    }
  }
  if (state != object_store::MachineState::kLive) {
    simulation_.faults().add(FaultKind::kMachineLeaving);
  }
}

SimulatedObjectStore::SimulatedObjectStore(Simulation& simulation, SimulatedProcess& process,
                                           SimulatedPlatform& platform)
    : simulation_(simulation),
      path_(simulation, process, SimulatedPlatform::place()),
      platform_(platform) {}

template <typename Value, typename Request>
void SimulatedObjectStore::ask(common::Duration time_limit, object_store::StoreFailure unknown,
                               Request request, object_store::StoreCallback<Value> callback) {
  using Answer = object_store::StoreResult<Value>;
  auto effect = [&platform = platform_,
                 request = std::move(request)](typename ExternalCall<Answer>::Reply reply) {
    request(platform.store(), [reply = std::move(reply)](Answer answer) { reply(answer); });
  };
  auto done = [callback = std::move(callback), unknown](CallResult result,
                                                        std::optional<Answer> answer) {
    if (result == CallResult::kAnswered) {
      callback(std::move(*answer));
      return;
    }
    const bool sent = result == CallResult::kUnknown;
    callback(common::Failure<object_store::StoreFailure>{
        sent ? unknown : object_store::StoreFailure::kUnavailable, "no answer from the store"});
  };
  ExternalCall<Answer>::start(path_, CallFaults{}, time_limit, std::move(effect), std::move(done));
}

void SimulatedObjectStore::get(const std::string& key,
                               object_store::StoreCallback<object_store::StoredObject> callback) {
  ask<object_store::StoredObject>(
      kStoreTimeLimit, object_store::StoreFailure::kUnavailable,
      [key](auto& store, auto reply) { store.get(key, std::move(reply)); }, std::move(callback));
}

void SimulatedObjectStore::compareAndSet(
    object_store::ObjectWrite write,
    object_store::StoreCallback<object_store::StoredObject> callback) {
  // The emulated store decides which responses are lost, so this fault is counted when the result
  // says that the outcome is unknown.
  auto counted = [this, callback = std::move(callback)](auto result) {
    if (!result.ok() && result.failure().kind == object_store::StoreFailure::kUnknownOutcome) {
      simulation_.faults().add(FaultKind::kStoreAnswerLost);
    }
    callback(std::move(result));
  };
  ask<object_store::StoredObject>(
      kStoreTimeLimit, object_store::StoreFailure::kUnknownOutcome,
      [write = std::move(write)](auto& store, auto reply) {
        store.compareAndSet(write, std::move(reply));
      },
      std::move(counted));
}

void SimulatedObjectStore::list(const std::string& prefix,
                                object_store::StoreCallback<object_store::ObjectListing> callback) {
  ask<object_store::ObjectListing>(
      kStoreTimeLimit, object_store::StoreFailure::kUnavailable,
      [prefix](auto& store, auto reply) { store.list(prefix, std::move(reply)); },
      std::move(callback));
}

void SimulatedObjectStore::watch(
    const std::string& prefix, std::uint64_t revision,
    object_store::StoreCallback<object_store::ObjectListing> callback) {
  ask<object_store::ObjectListing>(
      kWatchTimeLimit, object_store::StoreFailure::kUnavailable,
      [prefix, revision](auto& store, auto reply) {
        store.watch(prefix, revision, std::move(reply));
      },
      std::move(callback));
}

SimulatedMachineList::SimulatedMachineList(Simulation& simulation, SimulatedProcess& process,
                                           SimulatedPlatform& platform)
    : path_(simulation, process, SimulatedPlatform::place()), platform_(platform) {}

void SimulatedMachineList::fetch(const common::ZoneName& zone,
                                 object_store::MachineListCallback callback) {
  using Answer =
      common::Result<std::vector<object_store::Machine>, object_store::MachineListFailure>;
  auto effect = [&platform = platform_, zone](ExternalCall<Answer>::Reply reply) {
    platform.machines().fetch(zone, [reply = std::move(reply)](Answer answer) { reply(answer); });
  };
  auto done = [callback = std::move(callback)](CallResult result, std::optional<Answer> answer) {
    if (result == CallResult::kAnswered) {
      callback(std::move(*answer));
      return;
    }
    callback(common::Failure<object_store::MachineListFailure>{
        object_store::MachineListFailure::kUnavailable, "no answer from the machine list"});
  };
  ExternalCall<Answer>::start(path_, CallFaults{}, kMachineListTimeLimit, std::move(effect),
                              std::move(done));
}

}  // namespace cypresswall::simulation
