#include "cypresswall/duties/usage_collector.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
namespace {

/// Number of messages from which a node's clock offset is estimated; the message with the least
/// network delay determines the estimate.
constexpr std::uint32_t kClockSamples = 4;
/// Minimum number of nodes with a known clock offset; with fewer, no clock is corrected, since
/// their median is not a reliable estimate of the fleet's time.
constexpr std::size_t kMinimumClocks = 3;

}  // namespace

UsageCollector::UsageCollector(const UsageSettings& settings, const api::ProcessContext& context,
                               const membership::MembershipView& membership,
                               const Collectors& collectors, FleetTime& time)
    : settings_(settings),
      context_(context),
      membership_(membership),
      ranking_(collectors),
      time_(time),
      resync_requests_(context.counters.counter("cypresswall_usage_asked_again_total",
                                                "Messages with counts that did not arrive")),
      corrected_(context.counters.counter("cypresswall_usage_clock_corrections_total",
                                          "Corrections of this node's time by a collector")) {
  context_.dispatcher.handle<UsageUpdate>(
      [this](const common::NodeId& sender, const UsageUpdate& update) {
        onUpdate(sender, update);
      });
  context_.dispatcher.handle<ClockCorrection>(
      [this](const common::NodeId& sender, const ClockCorrection& correction) {
        corrected_.add();
        common::LogEvent(context_.log, common::LogLevel::kWarning, "clock_corrected")
            .field("ahead_us", correction.clock_offset)
            .field("collector", sender.address);
        time_.correct(common::Duration(correction.clock_offset));
      });
}

void UsageCollector::onUpdate(const common::NodeId& sender, const UsageUpdate& update) {
  if (!settings_.reports) {
    return;
  }
  NodeCounts& counts = nodes_[update.node];
  merge(counts, update.windows);
  if (update.node != sender) {
    return;
  }
  const bool next = update.sequence == counts.last_sequence + 1;
  counts.last_sequence = std::max(counts.last_sequence, update.sequence);
  counts.gap_free = update.complete || (counts.gap_free && next);
  if (counts.gap_free) {
    counts.closed_through = std::max(counts.closed_through, update.closed_through);
  } else if (sender != context_.self) {
    resync_requests_.add();
    context_.sendTo(sender, UsageResyncRequest{counts.last_sequence});
  }
  recordClockSample(sender, counts, common::Duration(update.time));
}

void UsageCollector::merge(NodeCounts& counts, const std::vector<WindowCounts>& windows) const {
  for (const WindowCounts& update : windows) {
    if (update.window <= discarded_through_) {
      continue;
    }
    TenantCounts& known = counts.windows[update.window];
    for (const auto& [tenant, count] : update.counts) {
      std::uint64_t& sum = known[tenant];
      sum = std::max(sum, count);
    }
  }
}

void UsageCollector::recordClockSample(const common::NodeId& sender, NodeCounts& counts,
                                       common::Duration sender_time) {
  const common::Duration clock_offset = sender_time - time_.now();
  counts.clock_offset = std::max(counts.clock_offset.value_or(clock_offset), clock_offset);
  if (++counts.clock_samples < kClockSamples) {
    return;
  }
  const auto fleet = medianClockOffset();
  const common::Duration own = std::exchange(counts.clock_offset, std::nullopt).value();
  counts.clock_samples = 0;
  counts.clock_offset = own;
  // Only the first collector sends corrections, so that no node is corrected twice.
  if (!fleet || ranking_.first() != context_.self) {
    return;
  }
  const common::Duration difference = own - *fleet;
  if (std::chrono::abs(difference) <= settings_.clock_tolerance) {
    return;
  }
  counts.clock_offset.reset();
  if (sender == context_.self) {
    time_.correct(difference);
    for (auto& [node, other] : nodes_) {
      other.clock_offset.reset();
      other.clock_samples = 0;
    }
  } else {
    context_.sendTo(sender, ClockCorrection{difference.count()});
  }
}

std::optional<common::Duration> UsageCollector::medianClockOffset() const {
  std::vector<common::Duration> offsets;
  for (const membership::Member& member : membership_.members()) {
    const auto found = nodes_.find(member.node);
    if (found != nodes_.end() && found->second.clock_offset) {
      offsets.push_back(*found->second.clock_offset);
    }
  }
  if (offsets.size() < kMinimumClocks) {
    return std::nullopt;
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::vector<common::NodeId> UsageCollector::transferToNewCollectors() {
  const auto& collectors = ranking_.all();
  std::vector<common::NodeId> added;
  if (collectors == collectors_) {
    return added;
  }
  for (const common::NodeId& collector : collectors) {
    const bool known =
        std::find(collectors_.begin(), collectors_.end(), collector) != collectors_.end();
    if (!known && collector != context_.self) {
      added.push_back(collector);
    }
  }
  collectors_ = collectors;
  if (added.empty()) {
    return added;
  }
  for (const auto& [node, counts] : nodes_) {
    if (counts.windows.empty()) {
      continue;
    }
    UsageUpdate update;
    update.node = node;
    for (const auto& [window, of_window] : counts.windows) {
      update.windows.push_back({window, of_window});
    }
    context_.sendToAll(added, update);
  }
  return added;
}

bool UsageCollector::reportsUsage(const membership::Member& member) const {
  return membership_.handles(member.node, api::MessageSet::kUsage);
}

bool UsageCollector::complete(std::uint64_t window) const { return missingNodes(window) == 0; }

std::size_t UsageCollector::missingNodes(std::uint64_t window) const {
  std::size_t count = 0;
  for (const membership::Member& member : membership_.members()) {
    if (!reportsUsage(member)) {
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

void UsageCollector::discardThrough(std::uint64_t window) {
  if (window <= discarded_through_) {
    return;
  }
  discarded_through_ = window;
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
