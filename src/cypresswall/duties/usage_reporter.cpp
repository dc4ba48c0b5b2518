#include "cypresswall/duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace cypresswall::duties {
namespace {

using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;

/// Maximum number of windows that this node stored or reported and whose status is kept to be shown
/// to operators.
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
      copies_(settings, context, membership, collectors),
      reported_(usageCounter(context.counters, "taken")),
      failed_(usageCounter(context.counters, "failed")),
      given_up_(usageCounter(context.counters, "given_up")),
      unreadable_(context.counters.counter("cypresswall_usage_ledger_unreadable_total",
                                           "Stored ledgers of usage that could not be read")) {
  context_.dispatcher.handle<UsageReportedThrough>(
      [this](const common::NodeId&, const UsageReportedThrough& reported) {
        markReportedThrough(reported.window);
      });
}

void UsageReporter::start() {
  if (settings_.reports) {
    reported_through_ = currentWindow() - 1;
    incarnation_ = store_.incarnation();
    incarnation_seen_at_ = time_.now();
    tick();
  }
}

void UsageReporter::tick() {
  context_.scheduler.schedule(settings_.tick_interval, [this] { tick(); });
  watchIncarnation();
  informNewCollectors();
  const auto own_rank = rank();
  if (!own_rank) {
    if (std::exchange(collector_since_, std::nullopt)) {
      copies_.collectsNoMore();
    }
  } else if (!collector_since_) {
    collector_since_ = context_.clock.now();
    copies_.collectsSince(currentWindow());
  }
  needed_ = own_rank && reportingDue(*own_rank);
  if (needed_ && !call_in_flight_ && context_.clock.now() >= next_call_at_) {
    advance();
  }
}

void UsageReporter::watchIncarnation() {
  if (std::exchange(incarnation_, store_.incarnation()) != incarnation_) {
    incarnation_seen_at_ = time_.now();
  }
}

void UsageReporter::informNewCollectors() {
  const auto added = collector_.transferToNewCollectors();
  if (added.empty()) {
    return;
  }
  if (confirmed_through_ > 0) {
    context_.sendToAll(added, UsageReportedThrough{confirmed_through_});
  }
  copies_.transferTo(added);
}

std::optional<std::size_t> UsageReporter::rank() const {
  if (membership_.joining()) {
    return std::nullopt;
  }
  const auto& collectors = collectors_.all();
  const auto own = std::find(collectors.begin(), collectors.end(), context_.self);
  return own == collectors.end()
             ? std::nullopt
             : std::make_optional(static_cast<std::size_t>(own - collectors.begin()));
}

bool UsageReporter::reportingDue(std::size_t rank) const {
  const auto delay = static_cast<std::int64_t>(rank) * settings_.takeover_delay;
  return time_.now() >= windowEnd(reported_through_ + 1) + settings_.settling_time + delay &&
         context_.clock.now() >= *collector_since_ + settings_.handover_time + delay;
}

void UsageReporter::advance() {
  const auto epoch = authority_.heldEpoch();
  if (!epoch) {
    return;
  }
  // As long as this node holds the lease under the same token, no other node writes the ledger, so
  // that it need not be read again.
  if (!ledger_ || ledger_token_ != epoch->term) {
    readLedger();
  } else if (!ledger_->fixed.empty()) {
    replicateThenSend(ledger_->fixed.front());
  } else if (!fixDueWindows()) {
    markReportedThrough(ledger_->taken_through);
  }
}

void UsageReporter::readLedger() {
  call_in_flight_ = true;
  ledger_token_ = authority_.heldEpoch()->term;
  store_.get(kUsageLedgerKey, [this](const StoreResult<StoredObject>& result) { onRead(result); });
}

void UsageReporter::onRead(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  watchIncarnation();
  if (result.ok()) {
    observe(result.value());
  } else if (result.failure().kind == StoreFailure::kNotFound) {
    // No lease holder has reported in this fleet yet. Reporting starts after the last window that
    // had ended when this node started, or that it knows to be reported.
    ledger_.emplace().taken_through = reported_through_;
    ledger_version_ = 0;
    recordLostReports(*ledger_);
  } else {
    retryAfter(settings_.retry_delay);
  }
}

bool UsageReporter::fixDueWindows() {
  giveUpWindows();
  UsageLedger ledger = *ledger_;
  for (std::uint64_t window = ledger.fixedThrough() + 1;
       due(window) && !mayHaveBeenReported(window); ++window) {
    const auto reported =
        window <= ledger.uncertain_through ? copies_.countsOf(window) : std::nullopt;
    ledger.fixed.push_back({window, reported ? *reported : collector_.sum(window)});
  }
  if (ledger.fixed.empty()) {
    return false;
  }
  writeLedger(std::move(ledger));
  return true;
}

void UsageReporter::giveUpWindows() {
  const std::uint64_t current = currentWindow();
  if (current > settings_.maximum_backlog_windows + 1) {
    giveUpThrough(current - settings_.maximum_backlog_windows - 1, "too_old");
  }
  std::uint64_t unknown_through = ledger_->taken_through;
  while (mayHaveBeenReported(unknown_through + 1)) {
    ++unknown_through;
  }
  giveUpThrough(unknown_through, "may_have_been_reported");
}

void UsageReporter::giveUpThrough(std::uint64_t window, const char* reason) {
  if (window <= ledger_->taken_through) {
    return;
  }
  given_up_.add(static_cast<double>(window - ledger_->taken_through));
  common::LogEvent(context_.log, common::LogLevel::kError, "usage_given_up")
      .field("first_window", ledger_->taken_through + 1)
      .field("last_window", window)
      .field("reason", reason);
  ledger_->taken_through = window;
}

bool UsageReporter::mayHaveBeenReported(std::uint64_t window) const {
  return window <= ledger_->uncertain_through && !copies_.countsOf(window) &&
         !copies_.complete(window);
}

bool UsageReporter::due(std::uint64_t window) const {
  const common::Duration now = time_.now();
  const common::Duration end = windowEnd(window);
  const common::Duration collection_limit = settings_.due_after - settings_.reporting_reserve;
  return now >= end + settings_.settling_time &&
         (collector_.complete(window) || now >= end + collection_limit);
}

void UsageReporter::writeLedger(UsageLedger ledger) {
  ledger.store_incarnation = incarnation_;
  object_store::ObjectWrite request;
  request.key = kUsageLedgerKey;
  request.expected_version = ledger_version_;
  request.value = encodeUsageLedger(ledger);
  request.change_id = context_.self.toString() + "/usage/" + std::to_string(++next_change_);
  call_in_flight_ = true;
  for (const UsageReport& report : ledger.fixed) {
    recordFixed(report);
    copies_.replicate(report, ledger_token_);
  }
  store_.compareAndSet(std::move(request),
                       [this](const StoreResult<StoredObject>& result) { onWritten(result); });
}

void UsageReporter::onWritten(const StoreResult<StoredObject>& result) {
  call_in_flight_ = false;
  watchIncarnation();
  if (result.ok()) {
    observe(result.value());
    advance();
    return;
  }
  // Another lease holder may have written the ledger, or this write may still take effect, so the
  // ledger is read again before any report is sent.
  ledger_.reset();
  if (result.failure().kind != StoreFailure::kConflict) {
    retryAfter(settings_.retry_delay);
  }
}

void UsageReporter::observe(const StoredObject& object) {
  try {
    ledger_ = decodeUsageLedger(object.value);
    ledger_version_ = object.version;
    skipReportedWindows(*ledger_);
    recordLostReports(*ledger_);
  } catch (const UsageLedgerError& error) {
    // The unreadable ledger is not replaced, because a window could then be reported a second time
    // with different counts.
    ledger_.reset();
    unreadable_.add();
    retryAfter(settings_.due_after);
    common::LogEvent(context_.log, common::LogLevel::kError, "usage_ledger_unreadable")
        .field("version", object.version)
        .field("reason", error.what());
  }
}

/// A store that was restored from a copy may have lost that windows were reported.
void UsageReporter::skipReportedWindows(UsageLedger& ledger) const {
  std::erase_if(ledger.fixed,
                [this](const UsageReport& report) { return report.window <= confirmed_through_; });
  ledger.taken_through = std::max(ledger.taken_through, confirmed_through_);
}

/// Windows that ended only after this node had learned of the store's present incarnation can't
/// have been reported in an earlier one.
void UsageReporter::recordLostReports(UsageLedger& ledger) const {
  ledger.uncertain_through = std::min(ledger.uncertain_through, currentWindow());
  if (ledger.store_incarnation == incarnation_) {
    return;
  }
  const auto windows_ended = static_cast<std::uint64_t>(
      (incarnation_seen_at_ + settings_.clock_tolerance) / settings_.window);
  ledger.uncertain_through = std::max(ledger.uncertain_through, windows_ended - 1);
  ledger.store_incarnation = incarnation_;
}

void UsageReporter::replicateThenSend(const UsageReport& report) {
  copies_.replicate(report, ledger_token_);
  if (copies_.replicated(report.window)) {
    send(report);
  }
}

void UsageReporter::send(const UsageReport& report) {
  const auto epoch = authority_.heldEpoch();
  if (!epoch) {
    return;
  }
  call_in_flight_ = true;
  platform_.reportUsage({machine_, epoch->term}, report,
                        [this, report, epoch = *epoch](std::optional<DutyFailure> failure) {
                          onSent(report, epoch, failure);
                        });
}

void UsageReporter::onSent(const UsageReport& report, const common::Epoch& epoch,
                           std::optional<DutyFailure> failure) {
  call_in_flight_ = false;
  common::LogEvent(context_.log, failure ? common::LogLevel::kWarning : common::LogLevel::kInfo,
                   "usage_reported")
      .field("window", report.window)
      .field("requests", totalOf(report.counts))
      .field("tenants", report.counts.size())
      .field("token", epoch.term)
      .field("copies_unconfirmed", copies_.unconfirmed(report.window))
      .field("failure", toString(failure));
  if (!failure || failure == DutyFailure::kInvalid) {
    (failure ? failed_ : reported_).add();
    recordReported(report, epoch.term);
    markReportedThrough(report.window);
    if (ledger_ && !ledger_->fixed.empty() && ledger_->fixed.front().window == report.window) {
      ledger_->fixed.erase(ledger_->fixed.begin());
      ledger_->taken_through = report.window;
    }
    context_.sendToAll(collectors_.all(), UsageReportedThrough{report.window});
    return;
  }
  failed_.add();
  if (failure == DutyFailure::kSuperseded) {
    authority_.superseded(epoch);
    ledger_.reset();
  }
  retryAfter(settings_.retry_delay);
}

void UsageReporter::markReportedThrough(std::uint64_t window) {
  confirmed_through_ = std::max(confirmed_through_, window);
  reported_through_ = std::max(reported_through_, confirmed_through_);
  collector_.discardThrough(confirmed_through_);
  if (confirmed_through_ > settings_.retained_windows) {
    copies_.discardThrough(confirmed_through_ - settings_.retained_windows);
  }
}

void UsageReporter::retryAfter(common::Duration delay) {
  next_call_at_ = context_.clock.now() + delay;
}

void UsageReporter::recordFixed(const UsageReport& report) {
  ReportedWindow entry;
  entry.window = report.window;
  entry.requests = totalOf(report.counts);
  entry.tenants = report.counts.size();
  entry.nodes_missing = collector_.missingNodes(report.window);
  entry.at = context_.clock.now();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "usage_fixed")
      .field("window", report.window)
      .field("requests", entry.requests)
      .field("nodes_missing", entry.nodes_missing)
      .field("age_ms", (time_.now() - windowEnd(report.window)).count() / 1000);
  windows_.push_back(entry);
  if (windows_.size() > kRememberedWindows) {
    windows_.pop_front();
  }
}

void UsageReporter::recordReported(const UsageReport& report, std::uint32_t token) {
  for (ReportedWindow& entry : windows_) {
    if (entry.window == report.window) {
      entry.token = token;
      entry.at = context_.clock.now();
    }
  }
}

}  // namespace cypresswall::duties
