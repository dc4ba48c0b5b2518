#include "cypresswall/duties/usage_counter.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
UsageCounter::UsageCounter(const UsageSettings& settings, const api::ProcessContext& context,
                           const membership::MembershipView& membership,
                           const Collectors& collectors, const FleetTime& time,
                           std::function<void(const UsageUpdate&)> local_collector)
    : settings_(settings),
      context_(context),
      membership_(membership),
      collectors_(collectors),
      time_(time),
      local_collector_(std::move(local_collector)),
      counted_(context.counters.counter("cypresswall_usage_requests_total",
                                        "Requests that began to run, counted for tenants")) {
  context_.dispatcher.handle<UsageResyncRequest>(
      [this](const common::NodeId& sender, const UsageResyncRequest&) {
        collector_states_[sender].resync_requested = true;
      });
}

void UsageCounter::start() {
  if (settings_.reports) {
    closed_through_ = currentWindow() - 1;
    tick();
  }
}

std::uint64_t UsageCounter::currentWindow() const {
  return static_cast<std::uint64_t>(time_.now() / settings_.window);
}

void UsageCounter::requestBegan(const common::TenantName& tenant) {
  if (!settings_.reports) {
    return;
  }
  const std::uint64_t window = std::max(currentWindow(), closed_through_ + 1);
  ++windows_[window][tenant];
  changed_.insert(window);
  counted_.add();
}

common::Duration UsageCounter::interval() const {
  const double nodes = static_cast<double>(membership_.members().size());
  return std::max(settings_.update_interval,
                  common::fromSeconds(nodes / settings_.maximum_updates_per_second));
}

void UsageCounter::tick() {
  context_.scheduler.schedule(interval(), [this] { tick(); });
  sendUpdates();
}

void UsageCounter::flushUsage() {
  if (settings_.reports) {
    sendUpdates();
  }
}

void UsageCounter::sendUpdates() {
  const std::uint64_t closed = std::max(closed_through_, currentWindow() - 1);
  const bool window_ended = std::exchange(closed_through_, closed) != closed;
  const auto& collectors = collectors_.all();
  std::erase_if(collector_states_, [&](const auto& entry) {
    return std::find(collectors.begin(), collectors.end(), entry.first) == collectors.end();
  });
  for (const common::NodeId& collector : collectors) {
    CollectorState& state = collector_states_[collector];
    const bool update_due =
        window_ended || !changed_.empty() || state.sequence == 0 || state.resync_requested;
    if (!update_due) {
      continue;
    }
    const UsageUpdate message = makeUpdate(state);
    if (collector == context_.self) {
      local_collector_(message);
    } else {
      context_.sendTo(collector, message);
    }
  }
  changed_.clear();
  dropOldWindows();
}

UsageUpdate UsageCounter::makeUpdate(CollectorState& state) const {
  UsageUpdate message;
  message.node = context_.self;
  message.complete = state.sequence == 0 || std::exchange(state.resync_requested, false);
  message.sequence = ++state.sequence;
  message.closed_through = closed_through_;
  message.time = time_.now().count();
  for (const auto& [window, counts] : windows_) {
    if (message.complete || changed_.contains(window)) {
      message.windows.push_back({window, counts});
    }
  }
  return message;
}

void UsageCounter::dropOldWindows() {
  while (windows_.size() > settings_.retained_windows) {
    windows_.erase(windows_.begin());
  }
}

}  // namespace cypresswall::duties
