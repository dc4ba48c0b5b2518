#include "cypresswall/fleet_limits/tenant_accounts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

/// Maximum number of tenants that a node keeps accounts for; further ones are not limited.
constexpr std::size_t kMaximumAccounts = 4096;

/// A node forwards a balance that extends its refusal of the tenant by at least this much. Less is
/// the time that the message was on its way.
constexpr common::Duration kNewsOfRefusal = std::chrono::milliseconds(100);
/// An account counts as overdrawn below this debt, expressed as a time of its refill rate, so that
/// a new account, which starts empty, admits the first requests.
constexpr double kToleratedDebtSeconds = 0.25;

TenantBalance balanceMessage(const common::TenantName& tenant, common::Duration wait) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  return {tenant, static_cast<std::uint32_t>(milliseconds)};
}

bool isReadable(const TenantUsage& usage) {
  const auto valid = [](double value) { return std::isfinite(value) && value >= 0; };
  return valid(usage.cost) && valid(usage.burst) && std::isfinite(usage.rate) && usage.rate > 0;
}

}  // namespace

TenantAccounts::TenantAccounts(const TenantAccountSettings& settings,
                               const membership::NeighbourSettings& neighbours,
                               const api::ProcessContext& context,
                               membership::MembershipView& membership)
    : settings_(settings),
      context_(context),
      keepers_(settings.keepers, context, membership, api::MessageSet::kTenantAccounts),
      peers_(neighbours, context, membership, api::MessageSet::kTenantAccounts),
      reports_(context.counters.counter("cypresswall_tenant_usage_reports_total",
                                        "Reports on tenants' requests to account keepers")),
      overdrawn_(context.counters.counter("cypresswall_tenant_accounts_overdrawn_total",
                                          "Times that a tenant's account was overdrawn")),
      unreadable_(context.counters.counter("cypresswall_tenant_usage_unreadable_total",
                                           "Reports on tenants' requests that can't be read")) {
  context_.dispatcher.handle<TenantUsage>(
      [this](const common::NodeId& sender, const TenantUsage& usage) { onUsage(sender, usage); });
  context_.dispatcher.handle<TenantBalance>(
      [this](const common::NodeId&, const TenantBalance& balance) { onBalance(balance); });
}

std::optional<common::Duration> TenantAccounts::charge(const common::TenantName& tenant,
                                                       const TenantLimit& limit, double cost) {
  if (limit.rate <= 0) {
    return std::nullopt;
  }
  const auto now = context_.clock.now();
  LocalUse& use = uses_[tenant];
  use.limit = limit;
  if (now < use.refused_until) {
    return use.refused_until - now;
  }
  use.unreported += cost;
  if (!std::exchange(use.report_scheduled, true)) {
    const auto due = std::max(use.reported_at + settings_.report_interval, now);
    context_.scheduler.schedule(due - now, [this, tenant] { report(tenant); });
  }
  return std::nullopt;
}

void TenantAccounts::report(const common::TenantName& tenant) {
  LocalUse& use = uses_.at(tenant);
  use.report_scheduled = false;
  use.reported_at = context_.clock.now();
  const TenantUsage usage{tenant, std::exchange(use.unreported, 0), use.limit.rate,
                          use.limit.burst};
  reports_.add();
  const common::NodeId keeper = keepers_.keeperOf(tenant);
  if (keeper == context_.self) {
    withdraw(context_.self, usage);
  } else {
    context_.sendTo(keeper, usage);
  }
}

void TenantAccounts::onUsage(const common::NodeId& sender, const TenantUsage& usage) {
  if (!isReadable(usage)) {
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "tenant_usage_unreadable")
        .field("sender", sender.address)
        .field("tenant", usage.tenant);
    return;
  }
  withdraw(sender, usage);
}

void TenantAccounts::withdraw(const common::NodeId& reporter, const TenantUsage& usage) {
  const auto now = context_.clock.now();
  auto found = accounts_.find(usage.tenant);
  if (found == accounts_.end()) {
    if (accounts_.size() >= kMaximumAccounts) {
      return;
    }
    // A new account starts empty, since the former keeper's balance is unknown.
    found = accounts_.emplace(usage.tenant, Account{}).first;
    found->second.filled_at = now;
  }
  Account& account = found->second;
  const double part = keepers_.visibleShare() / static_cast<double>(settings_.regions);
  const double rate = usage.rate * part;
  account.balance = std::min(usage.burst * part,
                             account.balance + rate * common::toSeconds(now - account.filled_at));
  account.filled_at = now;
  account.balance -= usage.cost;
  if (account.balance >= -rate * kToleratedDebtSeconds) {
    account.overdrawn = false;
    return;
  }
  const auto wait = std::clamp(common::fromSeconds(-account.balance / rate), settings_.minimum_wait,
                               settings_.maximum_wait);
  if (std::exchange(account.overdrawn, true)) {
    inform(reporter, usage.tenant, wait);
    return;
  }
  overdrawn_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "tenant_account_overdrawn")
      .field("tenant", usage.tenant)
      .field("balance", account.balance)
      .field("rate", rate);
  refuseFor(usage.tenant, wait);
  context_.sendToAll(peers_.updateReceivers(), balanceMessage(usage.tenant, wait));
}

void TenantAccounts::inform(const common::NodeId& node, const common::TenantName& tenant,
                            common::Duration wait) {
  if (node == context_.self) {
    refuseFor(tenant, wait);
    return;
  }
  context_.sendTo(node, balanceMessage(tenant, wait));
}

void TenantAccounts::onBalance(const TenantBalance& balance) {
  const common::Duration wait = std::min<common::Duration>(
      std::chrono::milliseconds(balance.wait_milliseconds), settings_.maximum_wait);
  if (refuseFor(balance.tenant, wait)) {
    context_.sendToAll(peers_.updateReceivers(), balance);
  }
}

bool TenantAccounts::refuseFor(const common::TenantName& tenant, common::Duration wait) {
  auto use = uses_.find(tenant);
  if (use == uses_.end()) {
    if (uses_.size() >= kMaximumAccounts) {
      return false;
    }
    use = uses_.emplace(tenant, LocalUse{}).first;
  }
  const auto before = use->second.refused_until;
  use->second.refused_until = std::max(before, context_.clock.now() + wait);
  return use->second.refused_until - before >= kNewsOfRefusal;
}

}  // namespace cypresswall::fleet_limits
