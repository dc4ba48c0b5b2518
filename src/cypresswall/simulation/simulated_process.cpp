#include "cypresswall/simulation/simulated_process.h"

#include <algorithm>

#include "cypresswall/simulation/simulated_network.h"

namespace cypresswall::simulation {
namespace {

constexpr std::int64_t kMillion = 1'000'000;

}  // namespace

SimulatedProcess::SimulatedProcess(ProcessSettings settings, VirtualTime& time,
                                   SimulatedNetwork& network, FaultCounters& faults)
    : settings_(std::move(settings)),
      time_(time),
      network_(network),
      faults_(faults),
      started_(time.now()),
      random_(std::make_unique<common::SeededRandom>(settings_.seed)),
      context_{settings_.self, settings_.zone,
               *this,          *this,
               *random_,       settings_.log != nullptr ? *settings_.log : common::nullLogSink(),
               counters_,      *this,
               dispatcher_} {}

SimulatedProcess::~SimulatedProcess() {
  if (alive_) {
    die();
  }
}

common::MonotonicTime SimulatedProcess::localTime(common::MonotonicTime true_time) const {
  const auto elapsed = true_time - started_;
  const common::Duration drift(elapsed.count() * settings_.clock.drift_ppm / kMillion);
  return common::MonotonicTime{} + settings_.clock.offset + elapsed + drift;
}

common::MonotonicTime SimulatedProcess::now() const { return localTime(time_.now()); }

common::Duration SimulatedProcess::toTrueDuration(common::Duration local) const {
  if (local <= common::Duration{0}) {
    return common::Duration{0};
  }
  const auto due = now() + local;
  common::Duration delay(local.count() * kMillion / (kMillion + settings_.clock.drift_ppm));
  while (localTime(time_.now() + delay) < due) {
    delay += common::Duration{1};
  }
  return delay;
}

common::TimerId SimulatedProcess::schedule(common::Duration delay, std::function<void()> callback) {
  const auto handle = callbacks_.add(std::move(callback));
  time_.schedule(toTrueDuration(delay), [this, handle] { fire(handle, EventSource::kTimer); });
  return handle;
}

void SimulatedProcess::cancel(common::TimerId timer) { callbacks_.remove(timer); }

CallbackTable::Handle SimulatedProcess::keep(std::function<void()> callback) {
  return alive_ ? callbacks_.add(std::move(callback)) : 0;
}

void SimulatedProcess::deliverAfter(common::Duration delay, std::function<void()> callback) {
  const auto handle = keep(std::move(callback));
  if (handle != 0) {
    time_.schedule(delay, [this, handle] { trigger(handle); });
  }
}

void SimulatedProcess::deliver(std::function<void()> callback) {
  if (alive_) {
    fire(callbacks_.add(std::move(callback)), EventSource::kExternal);
  }
}

void SimulatedProcess::receive(api::Envelope envelope) {
  deliver([this, envelope = std::move(envelope)] {
    try {
      dispatcher_.dispatch(envelope);
    } catch (const api::MessageError&) {
      ++undispatched_;
    }
  });
}

void SimulatedProcess::send(api::Envelope envelope) {
  if (alive_) {
    network_.send(*this, std::move(envelope));
  }
}

void SimulatedProcess::fire(CallbackTable::Handle handle, EventSource source) {
  if (!alive_ || !callbacks_.contains(handle)) {
    return;
  }
  if (paused_) {
    deferred_.push_back(DeferredEvent{handle, source});
    return;
  }
  run(handle);
}

void SimulatedProcess::run(CallbackTable::Handle handle) {
  const auto callback = callbacks_.take(handle);
  if (!callback) {
    return;
  }
  const bool nested = std::exchange(running_, true);
  callback();
  running_ = nested;
  if (kill_requested_ && !running_) {
    die();
  }
}

void SimulatedProcess::pause() {
  if (alive_ && !paused_) {
    paused_ = true;
    faults_.add(FaultKind::kPause);
  }
}

void SimulatedProcess::orderDeferredEvents() {
  constexpr std::uint64_t kOrders = 3;
  const std::uint64_t choice = random_->below(kOrders);
  const auto runsFirst = [choice](const DeferredEvent& event) {
    return choice == 0 || (event.source == EventSource::kTimer) == (choice == 1);
  };
  std::stable_partition(deferred_.begin(), deferred_.end(), runsFirst);
}

void SimulatedProcess::resume() {
  if (!alive_ || !paused_) {
    return;
  }
  paused_ = false;
  orderDeferredEvents();
  // Each deferred event runs as a separate event of the run. If the process is paused again in
  // between, the remaining ones are deferred again.
  for (const DeferredEvent& event : std::exchange(deferred_, {})) {
    const auto handle = event.handle;
    const auto source = event.source;
    if (source == EventSource::kTimer) {
      time_.schedule(common::Duration{0}, [this, handle] { fire(handle, EventSource::kTimer); });
    } else {
      time_.schedule(common::Duration{0}, [this, handle] { fire(handle, EventSource::kExternal); });
    }
  }
}

void SimulatedProcess::kill() {
  if (!alive_) {
    return;
  }
  if (running_) {
    kill_requested_ = true;
    return;
  }
  die();
}

void SimulatedProcess::die() {
  alive_ = false;
  paused_ = false;
  network_.detach(*this);
  deferred_.clear();
  callbacks_.clear();
  while (!modules_.empty()) {
    modules_.pop_back();
  }
  callbacks_.clear();
  dispatcher_ = api::MessageDispatcher{};
}

}  // namespace cypresswall::simulation
