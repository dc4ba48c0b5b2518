#include "cypresswall/admission/tenant_limits.h"

#include <algorithm>
#include <utility>

namespace cypresswall::admission {
namespace {

constexpr double kOneRequest = 1;
/// Minimum bucket capacity; a bucket that cannot hold one request would never admit any.
constexpr double kSmallestRequestCapacity = 1;
const char* const kDefaultTenant = "default";

bool servesCallers(const membership::Member& member) {
  return member.state == membership::MemberState::kAlive ||
         member.state == membership::MemberState::kSuspect;
}

common::Counter& exchangeCounter(common::CounterRegistry& registry, const char* step) {
  return registry.counter("cypresswall_admission_exchange_total",
                          "Messages that pass on unused allowance of tenants", "step", step);
}

const configuration::TenantDeclaration* findTenant(const configuration::FleetConfiguration& fleet,
                                                   const common::TenantName& tenant) {
  const auto declared = fleet.tenants.find(tenant);
  return declared == fleet.tenants.end() ? nullptr : &declared->second;
}

}  // namespace

TenantLimits::TenantLimits(const api::ProcessContext& process,
                           const configuration::ConfigurationView& configuration,
                           membership::MembershipView& membership,
                           const AdmissionSettings& settings)
    : process_(process),
      configuration_(configuration),
      membership_(membership),
      settings_(settings),
      allowance_requests_(exchangeCounter(process.counters, "asked")),
      grants_given_(exchangeCounter(process.counters, "given")),
      grants_received_(exchangeCounter(process.counters, "received")),
      grants_dropped_(exchangeCounter(process.counters, "dropped")) {
  recomputeShares();
  membership.onChange([this] { recomputeShares(); });
  process.dispatcher.handle<AllowanceRequest>(
      [this](const common::NodeId& sender, const AllowanceRequest& request) {
        onAllowanceRequest(sender, request);
      });
  process.dispatcher.handle<AllowanceGrant>(
      [this](const common::NodeId&, const AllowanceGrant& grant) { onAllowanceGrant(grant); });
}

void TenantLimits::recomputeShares() {
  peers_.clear();
  for (const auto& member : membership_.members()) {
    if (servesCallers(member) && member.node != process_.self) {
      peers_.push_back(member.node);
    }
  }
  for (auto& [tenant, buckets] : buckets_) {
    configure(buckets, tenant);
  }
}

TenantLimits::Buckets& TenantLimits::bucketsOf(const common::TenantName& tenant) {
  const auto fleet = configuration_.current();
  const bool declared = findTenant(*fleet, tenant) != nullptr;
  const auto& name = declared ? tenant : common::TenantName(kDefaultTenant);
  auto& buckets = buckets_[name];
  configure(buckets, name);
  return buckets;
}

void TenantLimits::configure(Buckets& buckets, const common::TenantName& tenant) {
  const auto fleet = configuration_.current();
  const auto* declared = findTenant(*fleet, tenant);
  const double nodes = static_cast<double>(peers_.size()) + 1;
  const double request_rate = declared == nullptr ? 0 : declared->requests_per_second / nodes;
  const double token_rate = declared == nullptr ? 0 : declared->tokens_per_second / nodes;
  const double burst = common::toSeconds(settings_.burst);
  const auto now = process_.clock.now();
  buckets.requests.configure(request_rate, std::max(request_rate * burst, kSmallestRequestCapacity),
                             now);
  buckets.tokens.configure(token_rate, token_rate * burst, now);
}

std::optional<Refusal> TenantLimits::take(const AdmissionRequest& request) {
  auto& buckets = bucketsOf(request.tenant);
  const auto now = process_.clock.now();
  const bool requests_left = buckets.requests.canTake(kOneRequest, now);
  const bool tokens_left = buckets.tokens.canTake(request.tokens, now);
  if (requests_left && tokens_left) {
    buckets.requests.take(kOneRequest);
    buckets.tokens.take(request.tokens);
    return std::nullopt;
  }
  requestAllowance(request.tenant, buckets);
  if (!requests_left) {
    return refuse(RefusalReason::kTenantRequestLimit, buckets.requests, kOneRequest,
                  request.tenant);
  }
  return refuse(RefusalReason::kTenantTokenLimit, buckets.tokens, request.tokens, request.tenant);
}

Refusal TenantLimits::refuse(RefusalReason reason, TokenBucket& bucket, double cost,
                             const common::TenantName& tenant) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.retry_after = std::clamp(bucket.reserveRetry(cost, process_.clock.now()),
                                   settings_.minimum_retry_after, settings_.maximum_retry_after);
  refusal.message = "tenant " + tenant + " has used up its " +
                    (reason == RefusalReason::kTenantRequestLimit ? "requests" : "tokens");
  return refusal;
}

void TenantLimits::requestAllowance(const common::TenantName& tenant, Buckets& buckets) {
  const auto now = process_.clock.now();
  const bool requested_recently =
      buckets.requested_at && now - *buckets.requested_at < settings_.exchange_period;
  if (peers_.empty() || requested_recently) {
    return;
  }
  buckets.pending_sequence = next_sequence_++;
  buckets.requested_at = now;
  allowance_requests_.add();
  process_.sendTo(peers_[process_.random.below(peers_.size())],
                  AllowanceRequest{buckets.pending_sequence, tenant});
}

void TenantLimits::onAllowanceRequest(const common::NodeId& sender,
                                      const AllowanceRequest& request) {
  auto& buckets = bucketsOf(request.tenant);
  const auto now = process_.clock.now();
  AllowanceGrant grant;
  grant.sequence = request.sequence;
  grant.tenant = request.tenant;
  grant.requests = buckets.requests.donate(settings_.donated_share, now);
  grant.tokens = buckets.tokens.donate(settings_.donated_share, now);
  if (grant.requests > 0 || grant.tokens > 0) {
    grants_given_.add();
    process_.sendTo(sender, grant);
  }
}

void TenantLimits::onAllowanceGrant(const AllowanceGrant& grant) {
  auto& buckets = bucketsOf(grant.tenant);
  if (grant.sequence == 0 || grant.sequence != std::exchange(buckets.pending_sequence, 0)) {
    grants_dropped_.add();
    return;
  }
  grants_received_.add();
  buckets.requests.credit(grant.requests);
  buckets.tokens.credit(grant.tokens);
}

}  // namespace cypresswall::admission
