#include "cypresswall/fleet_limits/pool_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cypresswall/fleet_limits/max_min_shares.h"

namespace cypresswall::fleet_limits {
namespace {

/// Largest cost that one report may name; more than any node can be sent in a round.
constexpr double kMaximumReportedCost = 1e12;
constexpr double kMaximumWeight = 1e6;
/// Attempts without room, averaged per second, below which a class is not short: single refusals
/// have other causes.
constexpr double kLeastRefusedPerSecond = 2;
/// Answers per second below which the share of delayed ones says nothing.
constexpr double kLeastAnsweredPerSecond = 10;
/// Answers in a round that tell more of the present than an average.
constexpr double kManyAnswers = 20;
/// Capacity is near to the most that was served lately from this fraction of it on.
constexpr double kNearShare = 0.9;
/// Demand below this is taken for none.
constexpr double kNegligibleDemand = 1e-3;
/// A tenant's average follows at once if its demand has at least doubled, by at least so many
/// requests in a round: a surge is not noise.
constexpr double kSurgeFactor = 2;
constexpr std::uint32_t kSurgeRequests = 10;
/// `Class::best_served` fades by this fraction a second.
constexpr double kBestServedFading = 0.02;

bool isCost(double value) {
  return std::isfinite(value) && value >= 0 && value <= kMaximumReportedCost;
}

/// \return the cost per second that found room and, as far as answers are counted, was answered:
///   what is placed in a queue that grows is not served yet
template <typename Rates>
double servedOf(const Rates& rates) {
  const double attempts = rates.placed + rates.refused;
  const double placed = attempts > 0 ? rates.admitted * rates.placed / attempts : rates.admitted;
  return rates.answered > 0 ? std::min(placed, rates.answered) : placed;
}

bool isWeight(double value) { return std::isfinite(value) && value > 0 && value <= kMaximumWeight; }

}  // namespace

PoolLedger::PoolLedger(const PoolLedgerSettings& settings, common::MonotonicTime now)
    : settings_(settings), closed_at_(now), short_at_(now) {}

bool PoolLedger::isReadable(const DemandReport& report) {
  const auto readable_class = [](const ClassOutcomes& outcomes) {
    return outcomes.urgency < kClasses && isCost(outcomes.asked) && isCost(outcomes.unshed) &&
           isCost(outcomes.admitted);
  };
  const auto readable_tenant = [](const TenantDemand& demand) {
    return demand.urgency < kClasses && isCost(demand.cost) && isWeight(demand.weight);
  };
  return std::all_of(report.classes.begin(), report.classes.end(), readable_class) &&
         std::all_of(report.tenants.begin(), report.tenants.end(), readable_tenant);
}

void PoolLedger::add(const DemandReport& report) {
  urgent_first_ = report.urgent_first;
  for (const ClassOutcomes& outcomes : report.classes) {
    for (Rates* rates : {&classes_.at(outcomes.urgency).round, &whole_.round}) {
      rates->asked += outcomes.asked;
      rates->unshed += outcomes.unshed;
      rates->admitted += outcomes.admitted;
      rates->placed += outcomes.placed;
      rates->refused += outcomes.refused;
      rates->answered += outcomes.answered;
      rates->delayed += outcomes.delayed;
    }
  }
  for (const TenantDemand& demand : report.tenants) {
    const TenantKey key{demand.urgency, demand.tenant};
    if (tenants_.size() >= settings_.maximum_tenants && !tenants_.contains(key)) {
      continue;
    }
    Tenant& tenant = tenants_[key];
    tenant.cost += demand.cost;
    tenant.requests += demand.requests;
    tenant.weight = demand.weight;
  }
}

PoolShares PoolLedger::close(common::MonotonicTime now) {
  PoolShares shares;
  const double seconds = common::toSeconds(now - closed_at_);
  if (seconds <= 0) {
    return shares;
  }
  closed_at_ = now;
  ++rounds_;
  closeAverages(seconds);
  // The first reports come only from nodes that met the shortage; the others report from now on.
  if (rounds_ == 1) {
    return shares;
  }
  if (urgent_first_) {
    updateCapacity(whole_, seconds, now);
    divideUrgentFirst(shares);
  } else {
    for (Class& urgency_class : classes_) {
      updateCapacity(urgency_class, seconds, now);
    }
    divideClasses(shares);
  }
  std::sort(shares.tenants.begin(), shares.tenants.end(),
            [](const TenantShare& left, const TenantShare& right) {
              return left.fraction < right.fraction;
            });
  if (shares.tenants.size() > settings_.told_tenants) {
    shares.tenants.resize(settings_.told_tenants);
  }
  return shares;
}

void PoolLedger::closeAverages(double seconds) {
  const double kept = std::exp(-seconds / common::toSeconds(settings_.smoothing));
  const auto close = [&](Class& urgency_class) {
    // The first round may hold what nodes counted for longer than the round lasted.
    const double weight = rounds_ <= 2 ? 1 : 1 - kept;
    for (double Rates::*rate : {&Rates::asked, &Rates::unshed, &Rates::admitted, &Rates::placed,
                                &Rates::refused, &Rates::answered, &Rates::delayed}) {
      double& average = urgency_class.average.*rate;
      urgency_class.last.*rate = urgency_class.round.*rate / seconds;
      average += weight * (urgency_class.last.*rate - average);
    }
    urgency_class.round = {};
  };
  std::for_each(classes_.begin(), classes_.end(), close);
  close(whole_);
  closeTenants(seconds, kept);
}

void PoolLedger::closeTenants(double seconds, double kept) {
  for (auto entry = tenants_.begin(); entry != tenants_.end();) {
    Tenant& tenant = entry->second;
    const double demand = tenant.cost / seconds;
    const bool surged = tenant.requests >= kSurgeRequests && demand > kSurgeFactor * tenant.demand;
    if (!std::exchange(tenant.known, true) || surged || rounds_ <= 2) {
      tenant.demand = demand;
    } else {
      tenant.demand = kept * tenant.demand + (1 - kept) * demand;
    }
    tenant.cost = 0;
    tenant.requests = 0;
    entry = tenant.demand < kNegligibleDemand ? tenants_.erase(entry) : std::next(entry);
  }
}

bool PoolLedger::refuses(const Rates& rates) const {
  return rates.refused > kLeastRefusedPerSecond &&
         rates.refused > settings_.short_refused_share * (rates.placed + rates.refused);
}

bool PoolLedger::delays(const Rates& rates, double least_share) const {
  return rates.answered > kLeastAnsweredPerSecond && rates.delayed > least_share * rates.answered;
}

void PoolLedger::updateCapacity(Class& urgency_class, double seconds, common::MonotonicTime now) {
  const Rates& average = urgency_class.average;
  // With many answers a round, the last round tells sooner whether there is still a queue.
  const bool many = urgency_class.last.answered * seconds >= kManyAnswers;
  const Rates& newest = many ? urgency_class.last : average;
  const bool delayed = delays(newest, settings_.short_delayed_share);
  if (!refuses(average) && !delayed) {
    if (!delays(newest, settings_.short_delayed_share / 2)) {
      raiseCapacity(urgency_class, seconds, now);
    }
    return;
  }
  short_at_ = now;
  urgency_class.probing_seconds = 0;
  const double served = std::max(servedOf(average), servedOf(newest));
  urgency_class.best_served = std::max(
      served, urgency_class.best_served * (1 - std::min(1.0, kBestServedFading * seconds)));
  const double capacity = std::min(urgency_class.capacity.value_or(served), served);
  const double least =
      std::min(capacity, settings_.least_capacity_share * urgency_class.best_served);
  const double lowered = capacity * (1 - std::min(1.0, settings_.decrease_per_second * seconds));
  urgency_class.capacity = delayed ? std::max(lowered, least) : capacity;
}

void PoolLedger::raiseCapacity(Class& urgency_class, double seconds, common::MonotonicTime now) {
  if (!urgency_class.capacity) {
    return;
  }
  double& capacity = *urgency_class.capacity;
  const bool near = capacity > kNearShare * urgency_class.best_served;
  urgency_class.probing_seconds = near ? urgency_class.probing_seconds + seconds : 0;
  const bool probing =
      near && urgency_class.probing_seconds < common::toSeconds(settings_.probing_time);
  capacity *=
      1 + (probing ? settings_.probing_per_second : settings_.increase_per_second) * seconds;
  if (capacity > (1 + settings_.increase_per_second) * urgency_class.average.asked) {
    urgency_class.capacity.reset();
  } else {
    short_at_ = now;
  }
}

std::optional<double> PoolLedger::roomOf(std::size_t urgency) const {
  const Class& urgency_class = classes_[urgency];
  const Rates& rates = urgency_class.average;
  const bool sheds = rates.unshed < rates.asked * (1 - settings_.short_refused_share);
  if (!sheds) {
    return urgency_class.capacity;
  }
  return std::min(rates.unshed,
                  urgency_class.capacity.value_or(std::numeric_limits<double>::infinity()));
}

double PoolLedger::divide(std::uint8_t urgency, double room, PoolShares& shares) const {
  const auto first = tenants_.lower_bound({urgency, {}});
  std::vector<ShareClaim> claims;
  for (auto entry = first; entry != tenants_.end() && entry->first.first == urgency; ++entry) {
    claims.push_back({entry->second.demand, entry->second.weight});
  }
  const double level = waterLevel(claims, room);
  double used = 0;
  for (auto entry = first; entry != tenants_.end() && entry->first.first == urgency; ++entry) {
    const auto& [demand, weight] =
        std::pair<double, double>{entry->second.demand, entry->second.weight};
    const double share = std::min(demand, weight * level);
    used += share;
    if (demand > share * (1 + settings_.tolerated_excess)) {
      shares.tenants.push_back({entry->first.second, urgency, share / demand});
    }
  }
  shares.classes.push_back({urgency, true, room <= 0});
  return used;
}

void PoolLedger::divideClasses(PoolShares& shares) const {
  for (std::size_t urgency = 0; urgency < kClasses; ++urgency) {
    if (const auto room = roomOf(urgency)) {
      divide(static_cast<std::uint8_t>(urgency), *room, shares);
    }
  }
}

void PoolLedger::divideUrgentFirst(PoolShares& shares) const {
  if (!whole_.capacity) {
    return;
  }
  double left = *whole_.capacity;
  for (std::size_t rank = 0; rank < kClasses; ++rank) {
    const auto urgency = static_cast<std::uint8_t>(kClasses - 1 - rank);
    left = std::max(0.0, left - divide(urgency, left, shares));
  }
}

}  // namespace cypresswall::fleet_limits
