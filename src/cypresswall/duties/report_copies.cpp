#include "cypresswall/duties/report_copies.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cypresswall::duties {
namespace {

template <typename Value>
void keepLatest(std::map<std::uint64_t, Value>& by_window, std::size_t count) {
  while (by_window.size() > count) {
    by_window.erase(by_window.begin());
  }
}

}  // namespace

ReportCopies::ReportCopies(const UsageSettings& settings, const api::ProcessContext& context,
                           const membership::MembershipView& membership,
                           const Collectors& collectors)
    : settings_(settings), context_(context), membership_(membership), collectors_(collectors) {
  context_.dispatcher.handle<UsageReportCopies>(
      [this](const common::NodeId& sender, const UsageReportCopies& message) {
        onCopies(sender, message);
      });
  context_.dispatcher.handle<UsageReportCopiesStored>(
      [this](const common::NodeId& sender, const UsageReportCopiesStored& message) {
        onStored(sender, message);
      });
}

void ReportCopies::replicate(const UsageReport& report, std::uint32_t token) {
  const auto known = copies_.find(report.window);
  const auto replication = replications_.find(report.window);
  const bool under_way = known != copies_.end() && replication != replications_.end() &&
                         known->second.report.counts == report.counts &&
                         known->second.token == token;
  if (!under_way) {
    const UsageReportCopy copy{token, ++next_attempt_, {report.window, report.counts}};
    store(copy);
    replications_[report.window] = {token, copy.attempt, context_.clock.now(), {}};
    keepLatest(replications_, settings_.maximum_backlog_windows);
    context_.sendToAll(otherCollectors(), UsageReportCopies{true, kNever, {copy}});
  } else if (!replicated(report.window)) {
    context_.sendToAll(unconfirmed(replication->second),
                       UsageReportCopies{true, kNever, {known->second}});
  }
}

bool ReportCopies::replicated(std::uint64_t window) const {
  const auto found = replications_.find(window);
  if (found == replications_.end()) {
    return false;
  }
  const Replication& replication = found->second;
  return context_.clock.now() - replication.started_at >= settings_.replication_timeout ||
         unconfirmed(replication).empty();
}

std::size_t ReportCopies::unconfirmed(std::uint64_t window) const {
  const auto found = replications_.find(window);
  return found == replications_.end() ? otherCollectors().size()
                                      : unconfirmed(found->second).size();
}

std::vector<common::NodeId> ReportCopies::unconfirmed(const Replication& replication) const {
  auto nodes = otherCollectors();
  std::erase_if(nodes, [&](const auto& node) { return replication.confirmed.contains(node); });
  return nodes;
}

std::vector<common::NodeId> ReportCopies::otherCollectors() const {
  auto nodes = collectors_.all();
  std::erase_if(nodes, [this](const common::NodeId& node) {
    return node == context_.self || !membership_.handles(node, api::MessageSet::kReportCopies);
  });
  return nodes;
}

std::optional<TenantCounts> ReportCopies::countsOf(std::uint64_t window) const {
  const auto found = copies_.find(window);
  return found == copies_.end() ? std::nullopt : std::make_optional(found->second.report.counts);
}

/// A lease holder may learn of a new collector only after it has reported the current window.
void ReportCopies::collectsSince(std::uint64_t window) {
  const bool recent = context_.clock.now() - transferred_at_ < settings_.takeover_delay;
  complete_after_ = recent ? std::min(window, transferred_after_) : window;
}

void ReportCopies::collectsNoMore() {
  complete_after_ = kNever;
  transferred_after_ = kNever;
}

void ReportCopies::discardThrough(std::uint64_t window) {
  copies_.erase(copies_.begin(), copies_.upper_bound(window));
  replications_.erase(replications_.begin(), replications_.upper_bound(window));
}

void ReportCopies::transferTo(const std::vector<common::NodeId>& added) const {
  std::vector<common::NodeId> receivers = added;
  std::erase_if(receivers, [this](const common::NodeId& node) {
    return !membership_.handles(node, api::MessageSet::kReportCopies);
  });
  UsageReportCopies message;
  message.complete_after = complete_after_;
  for (const auto& [window, copy] : copies_) {
    message.copies.push_back(copy);
  }
  context_.sendToAll(receivers, message);
}

void ReportCopies::onCopies(const common::NodeId& sender, const UsageReportCopies& message) {
  UsageReportCopiesStored answer;
  for (const UsageReportCopy& copy : message.copies) {
    store(copy);
    answer.token = copy.token;
    answer.attempts.push_back(copy.attempt);
  }
  if (message.complete_after < transferred_after_) {
    transferred_after_ = message.complete_after;
    transferred_at_ = context_.clock.now();
  }
  if (complete_after_ != kNever) {
    complete_after_ = std::min(complete_after_, message.complete_after);
  }
  if (message.confirm && !answer.attempts.empty()) {
    context_.sendTo(sender, answer);
  }
}

void ReportCopies::onStored(const common::NodeId& sender, const UsageReportCopiesStored& message) {
  for (auto& [window, replication] : replications_) {
    const auto& attempts = message.attempts;
    if (replication.token == message.token &&
        std::find(attempts.begin(), attempts.end(), replication.attempt) != attempts.end()) {
      replication.confirmed.insert(sender);
    }
  }
}

void ReportCopies::store(const UsageReportCopy& copy) {
  const auto [entry, added] = copies_.try_emplace(copy.report.window, copy);
  UsageReportCopy& known = entry->second;
  if (!added && std::tie(known.token, known.attempt) < std::tie(copy.token, copy.attempt)) {
    known = copy;
  }
  keepLatest(copies_, settings_.maximum_backlog_windows);
}

}  // namespace cypresswall::duties
