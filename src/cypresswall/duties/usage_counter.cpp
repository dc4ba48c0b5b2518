#include "cypresswall/duties/usage_counter.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
UsageCounter::UsageCounter(const UsageSettings& settings, const api::ProcessContext& context,
                           const membership::MembershipView& membership,
                           const Collectors& collectors, const FleetTime& time,
                           std::function<void(const UsageTold&)> tell_self)
    : settings_(settings),
      context_(context),
      membership_(membership),
      collectors_(collectors),
      time_(time),
      tell_self_(std::move(tell_self)),
      counted_(context.counters.counter("cypresswall_usage_requests_total",
                                        "Requests that began to run, counted for tenants")) {
  context_.dispatcher.handle<UsageAsk>(
      [this](const common::NodeId& sender, const UsageAsk&) { told_[sender].asked = true; });
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
  return std::max(settings_.tell_interval, common::fromSeconds(nodes / settings_.told_per_second));
}

void UsageCounter::tick() {
  context_.scheduler.schedule(interval(), [this] { tick(); });
  tell();
}

void UsageCounter::flushUsage() {
  if (settings_.reports) {
    tell();
  }
}

void UsageCounter::tell() {
  const std::uint64_t closed = std::max(closed_through_, currentWindow() - 1);
  const bool window_ended = std::exchange(closed_through_, closed) != closed;
  const auto& collectors = collectors_.all();
  std::erase_if(told_, [&](const auto& entry) {
    return std::find(collectors.begin(), collectors.end(), entry.first) == collectors.end();
  });
  for (const common::NodeId& collector : collectors) {
    Told& told = told_[collector];
    const bool news = window_ended || !changed_.empty() || told.sequence == 0 || told.asked;
    if (!news) {
      continue;
    }
    const UsageTold message = messageTo(told);
    if (collector == context_.self) {
      tell_self_(message);
    } else {
      context_.sendTo(collector, message);
    }
  }
  changed_.clear();
  forgetOld();
}

UsageTold UsageCounter::messageTo(Told& told) const {
  UsageTold message;
  message.node = context_.self;
  message.complete = told.sequence == 0 || std::exchange(told.asked, false);
  message.sequence = ++told.sequence;
  message.closed_through = closed_through_;
  message.time = time_.now().count();
  for (const auto& [window, counts] : windows_) {
    if (message.complete || changed_.contains(window)) {
      message.windows.push_back({window, counts});
    }
  }
  return message;
}

void UsageCounter::forgetOld() {
  while (windows_.size() > settings_.kept_windows) {
    windows_.erase(windows_.begin());
  }
}

}  // namespace cypresswall::duties
