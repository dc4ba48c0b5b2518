#include "cypresswall/duties/usage_collector.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
namespace {

/// Messages of a node of which the one that was fastest on its way tells the node's time.
constexpr std::uint32_t kTimesTold = 4;
/// The middle of fewer nodes' times proves nothing.
constexpr std::size_t kLeastClocks = 3;

}  // namespace

UsageCollector::UsageCollector(const UsageSettings& settings, const api::ProcessContext& context,
                               const membership::MembershipView& membership,
                               const Collectors& collectors, FleetTime& time)
    : settings_(settings),
      context_(context),
      membership_(membership),
      ranking_(collectors),
      time_(time),
      asked_again_(context.counters.counter("cypresswall_usage_asked_again_total",
                                            "Messages with counts that did not arrive")),
      corrected_(context.counters.counter("cypresswall_usage_clock_corrections_total",
                                          "Corrections of this node's time by a collector")) {
  context_.dispatcher.handle<UsageTold>(
      [this](const common::NodeId& sender, const UsageTold& told) { onTold(sender, told); });
  context_.dispatcher.handle<ClockCorrection>(
      [this](const common::NodeId& sender, const ClockCorrection& correction) {
        corrected_.add();
        common::LogEvent(context_.log, common::LogLevel::kWarning, "clock_corrected")
            .field("ahead_us", correction.ahead)
            .field("collector", sender.address);
        time_.correct(common::Duration(correction.ahead));
      });
}

void UsageCollector::onTold(const common::NodeId& sender, const UsageTold& told) {
  if (!settings_.reports) {
    return;
  }
  NodeCounts& counts = nodes_[told.node];
  merge(counts, told.windows);
  if (told.node != sender) {
    return;
  }
  const bool next = told.sequence == counts.last_sequence + 1;
  counts.last_sequence = std::max(counts.last_sequence, told.sequence);
  counts.whole = told.complete || (counts.whole && next);
  if (counts.whole) {
    counts.closed_through = std::max(counts.closed_through, told.closed_through);
  } else if (sender != context_.self) {
    asked_again_.add();
    context_.sendTo(sender, UsageAsk{counts.last_sequence});
  }
  noteTime(sender, counts, common::Duration(told.time));
}

void UsageCollector::merge(NodeCounts& counts, const std::vector<WindowCounts>& windows) const {
  for (const WindowCounts& told : windows) {
    if (told.window <= forgotten_through_) {
      continue;
    }
    TenantCounts& known = counts.windows[told.window];
    for (const auto& [tenant, count] : told.counts) {
      std::uint64_t& sum = known[tenant];
      sum = std::max(sum, count);
    }
  }
}

void UsageCollector::noteTime(const common::NodeId& sender, NodeCounts& counts,
                              common::Duration told_time) {
  const common::Duration ahead = told_time - time_.now();
  counts.ahead = std::max(counts.ahead.value_or(ahead), ahead);
  if (++counts.times_told < kTimesTold) {
    return;
  }
  const auto fleet = fleetAhead();
  const common::Duration own = std::exchange(counts.ahead, std::nullopt).value();
  counts.times_told = 0;
  counts.ahead = own;
  // One collector judges, so that nobody is corrected twice.
  if (!fleet || ranking_.first() != context_.self) {
    return;
  }
  const common::Duration difference = own - *fleet;
  if (std::chrono::abs(difference) <= settings_.clock_tolerance) {
    return;
  }
  counts.ahead.reset();
  if (sender == context_.self) {
    time_.correct(difference);
    for (auto& [node, other] : nodes_) {
      other.ahead.reset();
      other.times_told = 0;
    }
  } else {
    context_.sendTo(sender, ClockCorrection{difference.count()});
  }
}

std::optional<common::Duration> UsageCollector::fleetAhead() const {
  std::vector<common::Duration> aheads;
  for (const membership::Member& member : membership_.members()) {
    const auto found = nodes_.find(member.node);
    if (found != nodes_.end() && found->second.ahead) {
      aheads.push_back(*found->second.ahead);
    }
  }
  if (aheads.size() < kLeastClocks) {
    return std::nullopt;
  }
  const auto middle = aheads.begin() + static_cast<std::ptrdiff_t>(aheads.size() / 2);
  std::nth_element(aheads.begin(), middle, aheads.end());
  return *middle;
}

void UsageCollector::handOn() {
  const auto& collectors = ranking_.all();
  if (collectors == collectors_) {
    return;
  }
  std::vector<common::NodeId> added;
  for (const common::NodeId& collector : collectors) {
    const bool known =
        std::find(collectors_.begin(), collectors_.end(), collector) != collectors_.end();
    if (!known && collector != context_.self) {
      added.push_back(collector);
    }
  }
  collectors_ = collectors;
  if (added.empty()) {
    return;
  }
  if (forgotten_through_ > 0) {
    context_.sendToAll(added, UsageSettled{forgotten_through_});
  }
  for (const auto& [node, counts] : nodes_) {
    if (counts.windows.empty()) {
      continue;
    }
    UsageTold told;
    told.node = node;
    for (const auto& [window, of_window] : counts.windows) {
      told.windows.push_back({window, of_window});
    }
    context_.sendToAll(added, told);
  }
}

bool UsageCollector::counts(const membership::Member& member) const {
  return membership_.handles(member.node, api::MessageSet::kUsage);
}

bool UsageCollector::complete(std::uint64_t window) const { return missing(window) == 0; }

std::size_t UsageCollector::missing(std::uint64_t window) const {
  std::size_t count = 0;
  for (const membership::Member& member : membership_.members()) {
    if (!counts(member)) {
      continue;
    }
    const auto found = nodes_.find(member.node);
    count += found == nodes_.end() || found->second.closed_through < window ? 1 : 0;
  }
  return count;
}

TenantCounts UsageCollector::sum(std::uint64_t window) const {
  TenantCounts sums;
  for (const auto& [node, counts] : nodes_) {
    const auto found = counts.windows.find(window);
    if (found == counts.windows.end()) {
      continue;
    }
    for (const auto& [tenant, count] : found->second) {
      sums[tenant] += count;
    }
  }
  return sums;
}

void UsageCollector::forgetThrough(std::uint64_t window) {
  if (window <= forgotten_through_) {
    return;
  }
  forgotten_through_ = window;
  const auto& members = membership_.members();
  for (auto& [node, counts] : nodes_) {
    counts.windows.erase(counts.windows.begin(), counts.windows.upper_bound(window));
  }
  std::erase_if(nodes_, [&](const auto& entry) {
    return entry.second.windows.empty() &&
           std::none_of(members.begin(), members.end(),
                        [&](const auto& member) { return member.node == entry.first; });
  });
}

}  // namespace cypresswall::duties
