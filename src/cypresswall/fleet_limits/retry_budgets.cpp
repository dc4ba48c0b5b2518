#include "cypresswall/fleet_limits/retry_budgets.h"

#include <algorithm>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

/// Fraction of `fleet_share` that a node credits for each request. The retries of one window may be
/// covered by the requests of that window and of the window before; crediting half keeps them
/// within the share nonetheless.
constexpr double kUsedShare = 0.5;
/// An exhausted budget counts as recovered if it grants a retry at least this long after it last
/// refused one. One log line then covers many refused requests.
constexpr common::Duration kRecoveryTime = std::chrono::seconds(2);

}  // namespace

RetryBudget::RetryBudget(const common::ServiceName& service, const RetryLimitSettings& settings,
                         const api::ProcessContext& context, LocalShareFunction local_share)
    : service_(service),
      settings_(settings),
      context_(context),
      local_share_(std::move(local_share)),
      window_counter_(settings.window),
      granted_count_(context.counters.counter("cypresswall_fleet_limits_retries_total",
                                              "Repeats paid for", "service", service)),
      refused_count_(context.counters.counter("cypresswall_fleet_limits_retries_refused_total",
                                              "Repeats that the account did not hold", "service",
                                              service)),
      left_gauge_(context.counters.gauge("cypresswall_fleet_limits_retries_left",
                                         "Repeats that the account holds", "service", service)) {}

void RetryBudget::recordRequest() {
  window_counter_.earn(1, context_.clock.now());
  left_gauge_.set(left());
}

double RetryBudget::used() const { return window_counter_.used(context_.clock.now()); }

double RetryBudget::left() const {
  const auto now = context_.clock.now();
  const double share = settings_.fleet_share * kUsedShare;
  const double burst = settings_.fleet_burst * local_share_();
  return std::max(0.0, window_counter_.earned(now) * share + burst - window_counter_.used(now));
}

bool RetryBudget::available(std::uint32_t retries) const { return left() >= retries; }

bool RetryBudget::withdraw(std::uint32_t retries) {
  if (!available(retries)) {
    refused();
    return false;
  }
  window_counter_.use(retries, context_.clock.now());
  granted(retries);
  return true;
}

void RetryBudget::refused() {
  refused_count_.add();
  ++refusals_;
  ++total_refused_;
  last_refused_at_ = context_.clock.now();
  if (std::exchange(exhausted_, true)) {
    return;
  }
  common::LogEvent(context_.log, common::LogLevel::kWarning, "retry_account_empty")
      .field("service", service_)
      .field("used", used())
      .field("part", local_share_());
}

void RetryBudget::granted(std::uint32_t retries) {
  granted_count_.add(retries);
  left_gauge_.set(left());
  if (!exhausted_ || context_.clock.now() - last_refused_at_ < kRecoveryTime) {
    return;
  }
  exhausted_ = false;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "retry_account_recovered")
      .field("service", service_)
      .field("refused", std::exchange(refusals_, 0))
      .field("left", left());
}

RetryBudgets::RetryBudgets(const RetryLimitSettings& settings, const api::ProcessContext& context,
                           LocalShareFunction local_share)
    : settings_(settings), context_(context), local_share_(std::move(local_share)) {}

RetryBudget& RetryBudgets::of(const common::ServiceName& service) {
  auto& budget = budgets_[service];
  if (!budget) {
    budget = std::make_unique<RetryBudget>(service, settings_, context_, local_share_);
  }
  return *budget;
}

}  // namespace cypresswall::fleet_limits
