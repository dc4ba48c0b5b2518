/// One daemon process of a simulated run, with its own clock (offset and drift), timers, random
/// numbers and modules. It can be paused, resumed and killed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/simulation/callback_table.h"
#include "cypresswall/simulation/fault_counters.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::simulation {

class SimulatedNetwork;

/// Deviation of a process's clock from the run's true time.
struct ClockSettings {
  common::Duration offset{0};
  /// Parts per million by which the clock runs fast (positive) or slow (negative).
  std::int64_t drift_ppm = 0;
};

struct ProcessSettings {
  common::NodeId self;
  common::ZoneName zone;
  ClockSettings clock;
  std::uint64_t seed = 0;
  common::LogSink* log = nullptr;
};

/// A simulated process. After kill() the object remains, without modules, until the run ends, so
/// that pending events for it can be discarded safely.
class SimulatedProcess final : private common::Clock,
                               private common::Scheduler,
                               private api::PeerTransport {
 public:
  SimulatedProcess(ProcessSettings settings, VirtualTime& time, SimulatedNetwork& network,
                   FaultCounters& faults);
  ~SimulatedProcess() override;

  /// Context from which the modules of this process are constructed.
  api::ProcessContext& context() { return context_; }
  const common::NodeId& id() const { return settings_.self; }
  const common::ZoneName& zone() const { return settings_.zone; }
  const common::CounterRegistry& counters() const { return counters_; }

  /// Constructs a module owned by this process; modules are destroyed in reverse order when the
  /// process dies.
  template <typename Module, typename... Arguments>
  Module& emplace(Arguments&&... arguments) {
    auto module = std::make_shared<Module>(std::forward<Arguments>(arguments)...);
    Module& reference = *module;
    modules_.push_back(std::move(module));
    return reference;
  }

  /// Runs `callback` in this process after `delay` of true time. If the process is paused then, the
  /// callback runs when it resumes; if the process is dead, never. Used for responses of external
  /// endpoints (store, engines, services).
  void deliverAfter(common::Duration delay, std::function<void()> callback);
  /// Stores `callback` until trigger() runs it, forget() drops it or the process dies.
  /// \return a handle for these functions; zero if the process is dead.
  CallbackTable::Handle keep(std::function<void()> callback);
  /// Runs a stored callback in this process now, or when the process resumes if it is paused.
  /// Unknown handles are ignored.
  void trigger(CallbackTable::Handle handle) { fire(handle, EventSource::kExternal); }
  void forget(CallbackTable::Handle handle) { callbacks_.remove(handle); }
  /// \return true if the callback is still stored: it has neither run nor been dropped.
  bool pending(CallbackTable::Handle handle) const { return callbacks_.contains(handle); }
  /// Runs `callback` in this process now, or when the process resumes if it is paused. A dead
  /// process never runs it.
  void deliver(std::function<void()> callback);
  /// Passes a received message to the process's dispatcher.
  void receive(api::Envelope envelope);

  /// Defers all events of this process until resume(). Ignored if paused or dead.
  void pause();
  /// Ends a pause and runs the deferred events. The process's random numbers determine their order:
  /// timers first, messages and responses first, or order of arrival.
  void resume();
  /// Drops all pending callbacks, then destroys the modules. If called from within the process,
  /// this happens after the running callback returns.
  void kill();

  bool alive() const { return alive_; }
  bool paused() const { return paused_; }
  /// \return number of messages that no module handled.
  std::uint64_t undispatchedMessages() const { return undispatched_; }

 private:
  enum class EventSource : std::uint8_t { kTimer, kExternal };
  struct DeferredEvent {
    CallbackTable::Handle handle = 0;
    EventSource source = EventSource::kTimer;
  };

  common::MonotonicTime now() const override;
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override;
  void cancel(common::TimerId timer) override;
  void send(api::Envelope envelope) override;

  common::MonotonicTime localTime(common::MonotonicTime true_time) const;
  /// \return the true time that elapses while this process's clock advances by `local`.
  common::Duration toTrueDuration(common::Duration local) const;
  void fire(CallbackTable::Handle handle, EventSource source);
  void run(CallbackTable::Handle handle);
  void orderDeferredEvents();
  void die();

  ProcessSettings settings_;
  VirtualTime& time_;
  SimulatedNetwork& network_;
  FaultCounters& faults_;
  common::MonotonicTime started_;
  std::unique_ptr<common::SeededRandom> random_;
  common::CounterRegistry counters_;
  api::MessageDispatcher dispatcher_;
  api::ProcessContext context_;
  CallbackTable callbacks_;
  std::vector<DeferredEvent> deferred_;
  std::vector<std::shared_ptr<void>> modules_;
  std::uint64_t undispatched_ = 0;
  bool alive_ = true;
  bool paused_ = false;
  bool running_ = false;
  bool kill_requested_ = false;
};

}  // namespace cypresswall::simulation
