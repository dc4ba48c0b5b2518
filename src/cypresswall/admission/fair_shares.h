/// Decides which tenants' requests are refused while engines or back ends are short of room.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/admission/latency_baseline.h"
#include "cypresswall/common/counters.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/fleet_limits/fair_share_accounts.h"

namespace cypresswall::admission {

struct FairShareSettings {
  /// Whether engines are divided among tenants.
  bool divides_engines = false;
  /// Whether requests to plain services are limited to what their back ends answer in time, divided
  /// among tenants.
  bool limits_services = false;
  /// Shares are in force for so long, unless renewed.
  common::Duration share_lifetime = std::chrono::milliseconds(2500);
  /// Without reports, counts older than this are dropped.
  common::Duration count_lifetime = std::chrono::milliseconds(600);
  /// A tenant that asked nothing for so long is forgotten.
  common::Duration tenant_lifetime = std::chrono::minutes(5);
  /// Bounds of the Retry-After of a tenant above its share.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(8);
  /// Tenants, counted for each urgency class, that are told apart in one pool; further ones are not
  /// limited.
  std::size_t maximum_tenants = 1024;
  /// Tenants in one report; those with the largest demand.
  std::size_t reported_tenants = 128;
};

/// Names of the pools that are divided.
std::string modelPool(const common::ModelName& model);
std::string servicePool(const configuration::HttpServiceDeclaration& service);

/// One request as the division sees it.
struct ShareRequest {
  std::string pool;
  common::TenantName tenant;
  configuration::Urgency urgency = configuration::Urgency::kNormal;
  /// Tokens for a model, 1 for a plain service.
  double cost = 1;
  double weight = 1;
  /// Fraction of the class that load shedding by urgency admits at this node.
  double unshed_share = 1;
};

struct ShareDecision {
  /// True if the division covers the request's class, which then needs no further shedding.
  bool decided = false;
  /// Set if the request is refused.
  std::optional<common::Duration> retry_after;
};

/// Counts of one tenant at this node, for operators.
struct TenantShareRow {
  common::TenantName tenant;
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Smallest fraction of its requests that the tenant may send now, over all pools and classes; 1
  /// if it is not limited.
  double share = 1;
};

/// A request of a tenant that is within its share is admitted. Of a tenant above its share a
/// fraction is admitted, evenly spread: each request adds the fraction to the tenant's credit, and
/// one that finds a whole unit takes it. Without shares in force nothing is refused.
class FairShares final : public fleet_limits::ShareHolder {
 public:
  FairShares(const FairShareSettings& settings, const common::Clock& clock,
             common::RandomSource& random, common::CounterRegistry& counters);

  /// Sets the function that is called when this node meets a shortage of a pool.
  void onShortage(std::function<void(const std::string& pool)> listener) {
    on_shortage_ = std::move(listener);
  }
  bool dividesEngines() const { return settings_.divides_engines; }
  bool limitsServices() const { return settings_.limits_services; }

  /// Counts a request and decides on it.
  ShareDecision decide(const ShareRequest& request);
  /// Counts that a request was admitted after all checks.
  void recordAdmitted(const ShareRequest& request);
  /// Counts an attempt that found room or, if `refused`, found none. Ignored, as is
  /// recordAnswer(), for a pool that no request was decided for.
  void recordPlaced(const std::string& pool, configuration::Urgency urgency, bool refused);
  /// Counts an answer of a plain service.
  void recordAnswer(const std::string& pool, configuration::Urgency urgency,
                    common::Duration latency);

  fleet_limits::DemandReport takeReport(const std::string& pool) override;
  void apply(const fleet_limits::PoolShares& shares) override;
  /// Sorted by name.
  std::vector<TenantShareRow> rows() const;

 private:
  static constexpr std::size_t kClasses = 4;
  using TenantKey = std::pair<std::uint8_t, common::TenantName>;

  struct Tenant {
    /// Since the last report.
    std::uint32_t requests = 0;
    double cost = 0;
    double weight = 1;
    /// Fraction of its requests that the tenant may send; in force with Pool::shares_until.
    double fraction = 1;
    double credit = 0;
    /// Requests per second at this node, as of the last report.
    double rate = 0;
    /// Time at which the last caller that was refused is to return.
    common::MonotonicTime return_at{};
    common::MonotonicTime last_asked{};
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  struct Pool {
    std::array<fleet_limits::ClassOutcomes, kClasses> classes{};
    std::map<TenantKey, Tenant> tenants;
    std::array<fleet_limits::ClassShare, kClasses> shares{};
    common::MonotonicTime shares_until{};
    common::MonotonicTime counted_since{};
    bool met_shortage = false;
    LatencyBaseline latency;
  };

  Pool& poolOf(const std::string& name);
  Tenant* tenantOf(Pool& pool, const ShareRequest& request);
  void startCounts(Pool& pool, common::MonotonicTime now);
  void dropForgotten(Pool& pool, common::MonotonicTime now);
  void meetShortage(const std::string& name, Pool& pool);
  /// \return the time after which a refused caller may come back: the refused of a tenant return
  ///   one by one, at the rate at which the tenant is admitted here
  common::Duration retryAfter(Tenant& tenant, common::MonotonicTime now);

  const FairShareSettings settings_;
  const common::Clock& clock_;
  common::RandomSource& random_;
  std::function<void(const std::string& pool)> on_shortage_;
  std::map<std::string, Pool> pools_;
  common::Counter& within_;
  common::Counter& above_admitted_;
  common::Counter& above_refused_;
  common::Counter& exhausted_refused_;
};

}  // namespace cypresswall::admission
