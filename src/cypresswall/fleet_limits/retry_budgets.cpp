#include "cypresswall/fleet_limits/retry_budgets.h"

#include <algorithm>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

/// A repeat of one window may rest on requests of the window before it, so that two windows of
/// requests stand behind the repeats of one: with half of the share the sum stays within it.
constexpr double kUsedShare = 0.5;
/// An account counts as recovered when it has refused nothing for so long: one line tells of many
/// requests.
constexpr common::Duration kRecovered = std::chrono::seconds(2);

}  // namespace

RetryBudget::RetryBudget(const common::ServiceName& service, const RetryLimitSettings& settings,
                         const api::ProcessContext& context, PartOfFleet part_of_fleet)
    : service_(service),
      settings_(settings),
      context_(context),
      part_of_fleet_(std::move(part_of_fleet)),
      ledger_(settings.window),
      paid_count_(context.counters.counter("cypresswall_fleet_limits_retries_total",
                                           "Repeats paid for", "service", service)),
      refused_count_(context.counters.counter("cypresswall_fleet_limits_retries_refused_total",
                                              "Repeats that the account did not hold", "service",
                                              service)),
      left_gauge_(context.counters.gauge("cypresswall_fleet_limits_retries_left",
                                         "Repeats that the account holds", "service", service)) {}

void RetryBudget::recordRequest() {
  ledger_.earn(1, context_.clock.now());
  left_gauge_.set(left());
}

double RetryBudget::used() const { return ledger_.used(context_.clock.now()); }

double RetryBudget::left() const {
  const auto now = context_.clock.now();
  const double share = settings_.fleet_share * kUsedShare;
  const double burst = settings_.fleet_burst * part_of_fleet_();
  return std::max(0.0, ledger_.earned(now) * share + burst - ledger_.used(now));
}

bool RetryBudget::available(std::uint32_t repeats) const { return left() >= repeats; }

bool RetryBudget::withdraw(std::uint32_t repeats) {
  if (!available(repeats)) {
    refused();
    return false;
  }
  ledger_.use(repeats, context_.clock.now());
  paid(repeats);
  return true;
}

void RetryBudget::refused() {
  refused_count_.add();
  ++refusals_;
  ++refused_in_all_;
  refused_at_ = context_.clock.now();
  if (std::exchange(empty_, true)) {
    return;
  }
  common::LogEvent(context_.log, common::LogLevel::kWarning, "retry_account_empty")
      .field("service", service_)
      .field("used", used())
      .field("part", part_of_fleet_());
}

void RetryBudget::paid(std::uint32_t repeats) {
  paid_count_.add(repeats);
  left_gauge_.set(left());
  if (!empty_ || context_.clock.now() - refused_at_ < kRecovered) {
    return;
  }
  empty_ = false;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "retry_account_recovered")
      .field("service", service_)
      .field("refused", std::exchange(refusals_, 0))
      .field("left", left());
}

RetryBudgets::RetryBudgets(const RetryLimitSettings& settings, const api::ProcessContext& context,
                           PartOfFleet part_of_fleet)
    : settings_(settings), context_(context), part_of_fleet_(std::move(part_of_fleet)) {}

RetryBudget& RetryBudgets::of(const common::ServiceName& service) {
  auto& account = accounts_[service];
  if (!account) {
    account = std::make_unique<RetryBudget>(service, settings_, context_, part_of_fleet_);
  }
  return *account;
}

}  // namespace cypresswall::fleet_limits
