#include "cypresswall/fleet_limits/fair_share_accounts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

/// Keepers whose rounds a node remembers; a full list is cleared.
constexpr std::size_t kMaximumKeepers = 8;
/// Bounds of what is taken over from one message.
constexpr std::size_t kMaximumNameBytes = 512;
constexpr std::size_t kMaximumTenants = 4096;
/// A keeper's first round is shorter than its others by this factor.
constexpr int kFirstRoundDivisor = 4;

bool isReadable(const PoolShares& shares) {
  return shares.pool.size() <= kMaximumNameBytes && shares.tenants.size() <= kMaximumTenants &&
         std::all_of(shares.tenants.begin(), shares.tenants.end(), [](const TenantShare& tenant) {
           return std::isfinite(tenant.fraction) && tenant.fraction >= 0 && tenant.fraction <= 1;
         });
}

common::Counter& messageCounter(common::CounterRegistry& registry, const char* event) {
  return registry.counter("cypresswall_fair_share_events_total",
                          "Messages and decisions by which scarce pools are divided", "event",
                          event);
}

}  // namespace

FairShareAccounts::FairShareAccounts(const FairShareAccountSettings& settings,
                                     const membership::NeighbourSettings& neighbours,
                                     const api::ProcessContext& context,
                                     membership::MembershipView& membership, ShareHolder& holder)
    : settings_(settings),
      context_(context),
      membership_(membership),
      holder_(holder),
      keepers_(settings.keepers, context, membership, api::MessageSet::kFairShares),
      mesh_limit_(neighbours.mesh_limit),
      peers_(neighbours, context, membership, api::MessageSet::kFairShares),
      reports_(messageCounter(context.counters, "report")),
      shares_told_(messageCounter(context.counters, "shares_told")),
      keeper_changes_(messageCounter(context.counters, "keeper_change")),
      own_divisions_(messageCounter(context.counters, "own_division")),
      unreadable_(messageCounter(context.counters, "unreadable")) {
  context_.dispatcher.handle<DemandReport>(
      [this](const common::NodeId& sender, const DemandReport& report) {
        onReport(sender, report);
      });
  context_.dispatcher.handle<PoolShares>(
      [this](const common::NodeId& sender, const PoolShares& shares) {
        if (!isReadable(shares)) {
          refuseUnreadable(sender, shares.pool);
        } else {
          onShares(shares);
        }
      });
}

common::Duration FairShareAccounts::interval() const {
  return settings_.report_interval +
         settings_.interval_per_node * static_cast<std::int64_t>(membership_.members().size());
}

void FairShareAccounts::onShortage(const std::string& pool) {
  if (!settings_.enabled) {
    return;
  }
  if (Reporting* reporting = findOrStart(pool, interval())) {
    reporting->until = context_.clock.now() + settings_.reporting_time;
  }
}

common::NodeId FairShareAccounts::keeperOf(const std::string& pool) {
  return reporting_.contains(pool) ? keepers_.keeperOf(pool) : common::NodeId{};
}

FairShareAccounts::Reporting* FairShareAccounts::findOrStart(const std::string& pool,
                                                             common::Duration first_report_after) {
  const auto found = reporting_.find(pool);
  if (found != reporting_.end()) {
    return &found->second;
  }
  if (reporting_.size() >= settings_.maximum_pools) {
    return nullptr;
  }
  scheduleReport(pool, first_report_after);
  return &reporting_.emplace(pool, Reporting(settings_.ledger, context_.clock.now())).first->second;
}

void FairShareAccounts::scheduleReport(const std::string& pool, common::Duration delay) {
  context_.scheduler.schedule(delay, [this, pool] { report(pool); });
}

void FairShareAccounts::report(const std::string& pool) {
  const auto found = reporting_.find(pool);
  if (context_.clock.now() >= found->second.until) {
    reporting_.erase(found);
    return;
  }
  scheduleReport(pool, interval());
  const DemandReport report = holder_.takeReport(pool);
  reports_.add();
  Reporting& reporting = found->second;
  noteKeeper(reporting, pool);
  updateOwnSums(reporting, report);
  if (reporting.keeper == context_.self) {
    keep(report);
  } else {
    context_.sendTo(reporting.keeper, report);
  }
}

void FairShareAccounts::noteKeeper(Reporting& reporting, const std::string& pool) {
  const common::NodeId keeper = keepers_.keeperOf(pool);
  if (!reporting.keeper.empty() && keeper != reporting.keeper) {
    keeper_changes_.add();
    common::LogEvent(context_.log, common::LogLevel::kInfo, "fair_share_keeper_changed")
        .field("pool", pool)
        .field("keeper", keeper.address);
  }
  reporting.keeper = keeper;
}

void FairShareAccounts::updateOwnSums(Reporting& reporting, const DemandReport& report) {
  const auto now = context_.clock.now();
  reporting.own_ledger.add(report);
  PoolShares shares = reporting.own_ledger.close(now);
  const bool silent = now - reporting.told_at >= settings_.silence_limit;
  if (silent && !std::exchange(reporting.by_own_sums, true)) {
    common::LogEvent(context_.log, common::LogLevel::kInfo, "fair_shares_by_own_sums")
        .field("pool", report.pool)
        .field("silent_keeper", reporting.keeper.address);
  }
  reporting.by_own_sums = silent;
  if (silent) {
    own_divisions_.add();
    shares.pool = report.pool;
    holder_.apply(shares);
  }
}

void FairShareAccounts::onReport(const common::NodeId& sender, const DemandReport& report) {
  if (report.pool.size() > kMaximumNameBytes || report.tenants.size() > kMaximumTenants ||
      !PoolLedger::isReadable(report)) {
    refuseUnreadable(sender, report.pool);
    return;
  }
  if (settings_.enabled) {
    keep(report);
  }
}

void FairShareAccounts::refuseUnreadable(const common::NodeId& sender, const std::string& pool) {
  unreadable_.add();
  common::LogEvent(context_.log, common::LogLevel::kWarning, "fair_share_message_unreadable")
      .field("sender", sender.address)
      .field("pool", pool.substr(0, kMaximumNameBytes));
}

void FairShareAccounts::keep(const DemandReport& report) {
  auto found = ledgers_.find(report.pool);
  if (found == ledgers_.end()) {
    // Reports that were on their way when a shortage ended must not begin another one.
    if (!report.met_shortage || ledgers_.size() >= settings_.maximum_pools) {
      return;
    }
    found = ledgers_.emplace(report.pool, PoolLedger(settings_.ledger, context_.clock.now())).first;
    // The other nodes begin to report only when they are told of the shortage.
    context_.scheduler.schedule(settings_.report_interval / kFirstRoundDivisor,
                                [this, pool = report.pool] { closeRound(pool); });
  }
  found->second.add(report);
}

void FairShareAccounts::closeRound(const std::string& pool) {
  const auto found = ledgers_.find(pool);
  const auto now = context_.clock.now();
  const auto again = context_.scheduler.schedule(interval(), [this, pool] { closeRound(pool); });
  PoolShares shares = found->second.close(now);
  shares.pool = pool;
  shares.keeper = context_.self;
  shares.round = next_round_++;
  shares.active = !found->second.calm(now);
  if (!shares.active) {
    context_.scheduler.cancel(again);
    ledgers_.erase(found);
  }
  shares_told_.add();
  common::LogEvent(context_.log, common::LogLevel::kDebug, "fair_shares_told")
      .field("pool", pool)
      .field("limited_classes", shares.classes.size())
      .field("limited_tenants", shares.tenants.size());
  onShares(shares);
}

bool FairShareAccounts::acceptShares(Reporting& reporting, const PoolShares& shares) {
  if (reporting.rounds.size() >= kMaximumKeepers && !reporting.rounds.contains(shares.keeper)) {
    reporting.rounds.clear();
  }
  std::uint64_t& round = reporting.rounds[shares.keeper];
  if (shares.round <= round) {
    return false;
  }
  round = shares.round;
  return true;
}

void FairShareAccounts::onShares(const PoolShares& shares) {
  if (!settings_.enabled) {
    return;
  }
  // Spread over an interval, so that the keeper does not receive all reports at once.
  const auto spread = common::fromSeconds(common::toSeconds(interval()) * context_.random.unit());
  Reporting* reporting = findOrStart(shares.pool, spread);
  if (reporting == nullptr || !acceptShares(*reporting, shares)) {
    return;
  }
  const auto now = context_.clock.now();
  reporting->told_at = now;
  if (shares.active) {
    reporting->until = now + settings_.reporting_time;
  }
  if (shares.keeper == context_.self || membership_.members().size() > mesh_limit_) {
    context_.sendToAll(peers_.updateReceivers(), shares);
  }
  holder_.apply(shares);
}

}  // namespace cypresswall::fleet_limits
