#include "cypresswall/duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Windows that operators can still ask about.
constexpr std::size_t kRememberedWindows = 12;

std::uint64_t totalOf(const TenantCounts& counts) {
  std::uint64_t total = 0;
  for (const auto& [tenant, count] : counts) {
    total += count;
  }
  return total;
}

common::Counter& usageCounter(common::CounterRegistry& registry, const char* result) {
  return registry.counter("cypresswall_usage_reports_total", "Reports of usage by their result",
                          "result", result);
}

}  // namespace

UsageReporter::UsageReporter(const UsageSettings& settings, const api::ProcessContext& context,
                             const membership::MembershipView& membership,
                             const Collectors& collectors, common::MachineName machine,
                             const FleetTime& time, UsageCollector& collector,
                             lease::AuthorityView& authority, object_store::ObjectStore& store,
                             DutyPlatform& platform)
    : settings_(settings),
      context_(context),
      membership_(membership),
      collectors_(collectors),
      machine_(std::move(machine)),
      time_(time),
      collector_(collector),
      authority_(authority),
      store_(store),
      platform_(platform),
      reported_(usageCounter(context.counters, "taken")),
      failed_(usageCounter(context.counters, "failed")),
      given_up_(usageCounter(context.counters, "given_up")),
      unreadable_(context.counters.counter("cypresswall_usage_ledger_unreadable_total",
                                           "Stored ledgers of usage that could not be read")) {
  context_.dispatcher.handle<UsageSettled>(
      [this](const common::NodeId&, const UsageSettled& settled) { settle(settled.window); });
}

void UsageReporter::start() {
  if (settings_.reports) {
    settled_through_ = currentWindow() - 1;
    tick();
  }
}

void UsageReporter::tick() {
  context_.scheduler.schedule(settings_.tick_interval, [this] { tick(); });
  collector_.handOn();
  const auto own_place = place();
  if (!own_place) {
    collector_since_.reset();
  } else if (!collector_since_) {
    collector_since_ = context_.clock.now();
  }
  needed_ = own_place && late(*own_place);
  if (needed_ && !call_under_way_ && context_.clock.now() >= next_call_at_) {
    act();
  }
}

std::optional<std::size_t> UsageReporter::place() const {
  if (membership_.joining()) {
    return std::nullopt;
  }
  const auto& collectors = collectors_.all();
  const auto own = std::find(collectors.begin(), collectors.end(), context_.self);
  return own == collectors.end()
             ? std::nullopt
             : std::make_optional(static_cast<std::size_t>(own - collectors.begin()));
}

bool UsageReporter::late(std::size_t place) const {
  const auto turn = static_cast<std::int64_t>(place) * settings_.stand_in_delay;
  return time_.now() >= endOf(settled_through_ + 1) + settings_.settling_time + turn &&
         context_.clock.now() >= *collector_since_ + settings_.hand_on_time + turn;
}

void UsageReporter::act() {
  const auto epoch = authority_.heldEpoch();
  if (!epoch) {
    return;
  }
  // Under one token no other node can have written.
  if (!ledger_ || ledger_token_ != epoch->term) {
    readLedger();
  } else if (!ledger_->fixed.empty()) {
    send(ledger_->fixed.front());
  } else if (!fixDueWindows()) {
    settle(ledger_->taken_through);
  }
}

void UsageReporter::readLedger() {
  call_under_way_ = true;
  ledger_token_ = authority_.heldEpoch()->term;
  store_.get(kUsageLedgerKey, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void UsageReporter::onRead(const StoreResult<StoredObject>& result) {
  call_under_way_ = false;
  if (result.ok()) {
    observe(result.value());
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    // The fleet's first holder: what came before was nobody's to count.
    ledger_.emplace().taken_through = settled_through_;
    ledger_version_ = 0;
  } else {
    callAgainAfter(settings_.retry_delay);
  }
}

bool UsageReporter::fixDueWindows() {
  UsageLedger ledger = *ledger_;
  const std::uint64_t current = currentWindow();
  const std::uint64_t oldest =
      current > settings_.windows_made_up_for ? current - settings_.windows_made_up_for : 0;
  if (ledger.taken_through + 1 < oldest) {
    given_up_.add(static_cast<double>(oldest - 1 - ledger.taken_through));
    common::LogEvent(context_.log, common::LogLevel::kError, "usage_given_up")
        .field("first_window", ledger.taken_through + 1)
        .field("last_window", oldest - 1);
    ledger.taken_through = oldest - 1;
  }
  while (due(ledger.fixedThrough() + 1)) {
    const std::uint64_t window = ledger.fixedThrough() + 1;
    ledger.fixed.push_back({window, collector_.sum(window)});
  }
  if (ledger.fixed.empty()) {
    return false;
  }
  writeLedger(ledger);
  return true;
}

bool UsageReporter::due(std::uint64_t window) const {
  const common::Duration now = time_.now();
  const common::Duration end = endOf(window);
  const common::Duration patience = settings_.due_after - settings_.kept_for_reporting;
  return now >= end + settings_.settling_time &&
         (collector_.complete(window) || now >= end + patience);
}

void UsageReporter::writeLedger(const UsageLedger& ledger) {
  object_store::ObjectWrite request;
  request.key = kUsageLedgerKey;
  request.expected_version = ledger_version_;
  request.value = encodeUsageLedger(ledger);
  request.change_id = context_.self.toString() + "/usage/" + std::to_string(++next_change_);
  call_under_way_ = true;
  for (const UsageReport& report : ledger.fixed) {
    noteFixed(report);
  }
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void UsageReporter::onWritten(const StoreResult<StoredObject>& result) {
  call_under_way_ = false;
  if (result.ok()) {
    observe(result.value());
    act();
    return;
  }
  // Another holder may have written, or the write may take effect later: what the store holds is
  // read before anything is said.
  ledger_.reset();
  if (result.failure().kind != StoreFailure::kConflict) {
    callAgainAfter(settings_.retry_delay);
  }
}

void UsageReporter::observe(const StoredObject& object) {
  try {
    ledger_ = decodeUsageLedger(object.value);
    ledger_version_ = object.version;
  } catch (const UsageLedgerError& error) {
    // Not ours to replace: other counts for a window that was reported could follow.
    ledger_.reset();
    unreadable_.add();
    callAgainAfter(settings_.due_after);
    common::LogEvent(context_.log, common::LogLevel::kError, "usage_ledger_unreadable")
        .field("version", object.version)
        .field("reason", error.what());
  }
}

void UsageReporter::send(const UsageReport& report) {
  const auto epoch = authority_.heldEpoch();
  if (!epoch) {
    return;
  }
  call_under_way_ = true;
  platform_.reportUsage({machine_, epoch->term}, report,
                        [this, report, epoch = *epoch](std::optional<DutyFailure> failure) {
                          onSent(report, epoch, failure);
                        });
}

void UsageReporter::onSent(const UsageReport& report, const common::Epoch& epoch,
                           std::optional<DutyFailure> failure) {
  call_under_way_ = false;
  common::LogEvent(context_.log, failure ? common::LogLevel::kWarning : common::LogLevel::kInfo,
                   "usage_reported")
      .field("window", report.window)
      .field("requests", totalOf(report.counts))
      .field("tenants", report.counts.size())
      .field("token", epoch.term)
      .field("failure", toString(failure));
  if (!failure || failure == DutyFailure::kInvalid) {
    (failure ? failed_ : reported_).add();
    noteReported(report, epoch.term);
    settle(report.window);
    if (ledger_ && !ledger_->fixed.empty() && ledger_->fixed.front().window == report.window) {
      ledger_->fixed.erase(ledger_->fixed.begin());
      ledger_->taken_through = report.window;
    }
    context_.sendToAll(collectors_.all(), UsageSettled{report.window});
    return;
  }
  failed_.add();
  if (failure == DutyFailure::kSuperseded) {
    authority_.superseded(epoch);
    ledger_.reset();
  }
  callAgainAfter(settings_.retry_delay);
}

void UsageReporter::settle(std::uint64_t window) {
  settled_through_ = std::max(settled_through_, window);
  collector_.forgetThrough(settled_through_);
}

void UsageReporter::callAgainAfter(common::Duration delay) {
  next_call_at_ = context_.clock.now() + delay;
}

void UsageReporter::noteFixed(const UsageReport& report) {
  ReportedWindow noted;
  noted.window = report.window;
  noted.requests = totalOf(report.counts);
  noted.tenants = report.counts.size();
  noted.nodes_missing = collector_.missing(report.window);
  noted.at = context_.clock.now();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "usage_fixed")
      .field("window", report.window)
      .field("requests", noted.requests)
      .field("nodes_missing", noted.nodes_missing)
      .field("age_ms", (time_.now() - endOf(report.window)).count() / 1000);
  windows_.push_back(noted);
  if (windows_.size() > kRememberedWindows) {
    windows_.pop_front();
  }
}

void UsageReporter::noteReported(const UsageReport& report, std::uint32_t token) {
  for (ReportedWindow& noted : windows_) {
    if (noted.window == report.window) {
      noted.token = token;
      noted.at = context_.clock.now();
    }
  }
}

}  // namespace cypresswall::duties
