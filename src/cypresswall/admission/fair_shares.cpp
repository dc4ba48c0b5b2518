#include "cypresswall/admission/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::admission {
namespace {

/// A node reports a shortage of time if at least so many answers since its last report were delayed
/// and they are more than this fraction of all.
constexpr std::uint32_t kDelayedAnswers = 3;
constexpr double kDelayedShare = 0.2;
/// Lowest rate at which refused callers of one tenant are asked back, per second.
constexpr double kLeastReturnRate = 0.1;
constexpr std::size_t kMaximumPools = 256;

common::Counter& decisionCounter(common::CounterRegistry& registry, const char* decision) {
  return registry.counter("cypresswall_fair_share_requests_total",
                          "Requests decided by tenants' shares of scarce pools", "decision",
                          decision);
}

}  // namespace

std::string modelPool(const common::ModelName& model) { return "model/" + model; }

std::string servicePool(const configuration::HttpServiceDeclaration& service) {
  return "service/" + (service.backend_pool.empty() ? service.name : service.backend_pool);
}

FairShares::FairShares(const FairShareSettings& settings, const common::Clock& clock,
                       common::RandomSource& random, common::CounterRegistry& counters)
    : settings_(settings),
      clock_(clock),
      random_(random),
      within_(decisionCounter(counters, "within_share")),
      above_admitted_(decisionCounter(counters, "above_share_admitted")),
      above_refused_(decisionCounter(counters, "above_share_refused")),
      exhausted_refused_(decisionCounter(counters, "class_exhausted")) {}

FairShares::Pool& FairShares::poolOf(const std::string& name) {
  if (pools_.size() >= kMaximumPools && !pools_.contains(name)) {
    pools_.clear();
  }
  return pools_[name];
}

FairShares::Tenant* FairShares::tenantOf(Pool& pool, const ShareRequest& request) {
  const TenantKey key{static_cast<std::uint8_t>(request.urgency), request.tenant};
  auto found = pool.tenants.find(key);
  if (found == pool.tenants.end()) {
    if (pool.tenants.size() >= settings_.maximum_tenants) {
      return nullptr;
    }
    found = pool.tenants.emplace(key, Tenant{}).first;
    // At random, since a tenant whose requests meet many nodes begins with a credit at each.
    found->second.credit = random_.unit();
  }
  return &found->second;
}

void FairShares::startCounts(Pool& pool, common::MonotonicTime now) {
  for (std::size_t urgency = 0; urgency < kClasses; ++urgency) {
    pool.classes[urgency] = {};
    pool.classes[urgency].urgency = static_cast<std::uint8_t>(urgency);
  }
  for (auto& [key, tenant] : pool.tenants) {
    tenant.requests = 0;
    tenant.cost = 0;
  }
  pool.met_shortage = false;
  pool.counted_since = now;
}

ShareDecision FairShares::decide(const ShareRequest& request) {
  const auto now = clock_.now();
  Pool& pool = poolOf(request.pool);
  if (now - pool.counted_since > settings_.count_lifetime && now >= pool.shares_until &&
      !pool.met_shortage) {
    startCounts(pool, now);
  }
  const auto urgency = static_cast<std::size_t>(request.urgency);
  fleet_limits::ClassOutcomes& outcomes = pool.classes[urgency];
  outcomes.asked += request.cost;
  outcomes.unshed += request.cost * request.unshed_share;
  Tenant* tenant = tenantOf(pool, request);
  if (tenant == nullptr) {
    return {};
  }
  ++tenant->requests;
  ++tenant->asked;
  tenant->cost += request.cost;
  tenant->weight = request.weight;
  tenant->last_asked = now;
  const fleet_limits::ClassShare& share = pool.shares[urgency];
  if (now >= pool.shares_until || !share.limited) {
    return {};
  }
  const double fraction = share.exhausted ? 0 : tenant->fraction;
  if (fraction >= 1) {
    within_.add();
    return {true, std::nullopt};
  }
  tenant->credit += fraction;
  if (tenant->credit >= 1) {
    tenant->credit -= 1;
    above_admitted_.add();
    return {true, std::nullopt};
  }
  ++tenant->refused;
  (share.exhausted ? exhausted_refused_ : above_refused_).add();
  return {true, retryAfter(*tenant, now)};
}

common::Duration FairShares::retryAfter(Tenant& tenant, common::MonotonicTime now) {
  const double rate = std::max(tenant.rate * tenant.fraction, kLeastReturnRate);
  const auto earliest = now + settings_.minimum_retry_after;
  const auto latest = now + settings_.maximum_retry_after;
  tenant.return_at =
      std::max(tenant.return_at, earliest) + common::fromSeconds(2 * random_.unit() / rate);
  // Later turns than the longest wait are dealt out anew from its middle.
  if (tenant.return_at > latest) {
    tenant.return_at = now + settings_.maximum_retry_after / 2;
    return common::fromSeconds(common::toSeconds(settings_.maximum_retry_after) *
                               (1 + random_.unit()) / 2);
  }
  return tenant.return_at - now;
}

void FairShares::recordAdmitted(const ShareRequest& request) {
  Pool& pool = poolOf(request.pool);
  pool.classes[static_cast<std::size_t>(request.urgency)].admitted += request.cost;
  if (Tenant* tenant = tenantOf(pool, request)) {
    ++tenant->admitted;
  }
}

void FairShares::meetShortage(const std::string& name, Pool& pool) {
  pool.met_shortage = true;
  if (on_shortage_) {
    on_shortage_(name);
  }
}

void FairShares::recordPlaced(const std::string& pool_name, configuration::Urgency urgency,
                              bool refused) {
  const auto found = pools_.find(pool_name);
  if (found == pools_.end()) {
    return;
  }
  Pool& pool = found->second;
  fleet_limits::ClassOutcomes& outcomes = pool.classes[static_cast<std::size_t>(urgency)];
  ++(refused ? outcomes.refused : outcomes.placed);
  if (refused) {
    meetShortage(pool_name, pool);
  }
}

void FairShares::recordAnswer(const std::string& pool_name, configuration::Urgency urgency,
                              common::Duration latency) {
  const auto found = pools_.find(pool_name);
  if (found == pools_.end()) {
    return;
  }
  Pool& pool = found->second;
  fleet_limits::ClassOutcomes& outcomes = pool.classes[static_cast<std::size_t>(urgency)];
  ++outcomes.placed;
  ++outcomes.answered;
  const auto now = clock_.now();
  const bool short_of_room = now < pool.shares_until || pool.met_shortage;
  if (!pool.latency.record(latency, short_of_room, now)) {
    return;
  }
  ++outcomes.delayed;
  if (outcomes.delayed >= kDelayedAnswers && outcomes.delayed > kDelayedShare * outcomes.answered) {
    meetShortage(pool_name, pool);
  }
}

fleet_limits::DemandReport FairShares::takeReport(const std::string& name) {
  const auto now = clock_.now();
  Pool& pool = poolOf(name);
  fleet_limits::DemandReport report;
  report.pool = name;
  report.urgent_first = name.starts_with("service/");
  report.met_shortage = pool.met_shortage;
  for (const fleet_limits::ClassOutcomes& outcomes : pool.classes) {
    if (outcomes.asked > 0 || outcomes.placed > 0 || outcomes.refused > 0) {
      report.classes.push_back(outcomes);
    }
  }
  const double seconds = std::max(common::toSeconds(now - pool.counted_since), 1e-3);
  for (auto& [key, tenant] : pool.tenants) {
    tenant.rate = tenant.requests / seconds;
    if (tenant.requests > 0) {
      report.tenants.push_back(
          {key.second, key.first, tenant.requests, tenant.cost, tenant.weight});
    }
  }
  if (report.tenants.size() > settings_.reported_tenants) {
    std::sort(report.tenants.begin(), report.tenants.end(),
              [](const auto& left, const auto& right) { return left.cost > right.cost; });
    report.tenants.resize(settings_.reported_tenants);
  }
  dropForgotten(pool, now);
  startCounts(pool, now);
  return report;
}

void FairShares::dropForgotten(Pool& pool, common::MonotonicTime now) {
  std::erase_if(pool.tenants, [&](const auto& entry) {
    return now - entry.second.last_asked >= settings_.tenant_lifetime;
  });
}

void FairShares::apply(const fleet_limits::PoolShares& shares) {
  Pool& pool = poolOf(shares.pool);
  pool.shares = {};
  for (const fleet_limits::ClassShare& share : shares.classes) {
    if (share.urgency < kClasses) {
      pool.shares[share.urgency] = share;
    }
  }
  pool.shares_until = clock_.now() + settings_.share_lifetime;
  for (auto& [key, tenant] : pool.tenants) {
    tenant.fraction = 1;
  }
  for (const fleet_limits::TenantShare& share : shares.tenants) {
    ShareRequest request;
    request.tenant = share.tenant;
    request.urgency = static_cast<configuration::Urgency>(share.urgency);
    if (Tenant* tenant = share.urgency < kClasses ? tenantOf(pool, request) : nullptr) {
      tenant->fraction = share.fraction;
      tenant->last_asked = std::max(tenant->last_asked, clock_.now());
    }
  }
}

std::vector<TenantShareRow> FairShares::rows() const {
  std::map<common::TenantName, TenantShareRow> rows;
  for (const auto& [name, pool] : pools_) {
    const bool in_force = clock_.now() < pool.shares_until;
    for (const auto& [key, tenant] : pool.tenants) {
      TenantShareRow& row = rows[key.second];
      row.tenant = key.second;
      row.asked += tenant.asked;
      row.admitted += tenant.admitted;
      row.refused += tenant.refused;
      const auto& share = pool.shares[key.first];
      if (in_force && share.limited) {
        row.share = std::min(row.share, share.exhausted ? 0.0 : tenant.fraction);
      }
    }
  }
  std::vector<TenantShareRow> sorted;
  sorted.reserve(rows.size());
  for (auto& [tenant, row] : rows) {
    sorted.push_back(std::move(row));
  }
  return sorted;
}

}  // namespace cypresswall::admission
