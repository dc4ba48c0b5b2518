#include "cypresswall/admission/zone_admission_controller.h"

#include <algorithm>
#include <utility>

namespace cypresswall::admission {
namespace {

/// The Retry-After of a shed request is extended at random by up to this fraction, so that the
/// retries of shed requests are spread over time.
constexpr double kRetryAfterJitter = 0.5;
/// With fewer tenants there is nobody to divide engines among.
constexpr std::size_t kLeastTenantsToDivide = 2;

const char* nameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTenantRequestLimit:
      return "tenant_requests";
    case RefusalReason::kTenantTokenLimit:
      return "tenant_tokens";
    case RefusalReason::kTenantQuota:
      return "tenant_quota";
    case RefusalReason::kFairShare:
      return "fair_share";
    case RefusalReason::kShedding:
      return "shedding";
    case RefusalReason::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace

ZoneAdmissionController::ZoneAdmissionController(
    const api::ProcessContext& process, const configuration::ConfigurationView& configuration,
    membership::MembershipView& membership, const LoadProbe& load,
    const AdmissionSettings& settings)
    : process_(process),
      configuration_(configuration),
      load_(load),
      settings_(settings),
      tenants_(process, configuration, membership, settings),
      admitted_(
          process.counters.counter("cypresswall_admission_admitted_total", "Requests admitted")),
      in_flight_gauge_(process.counters.gauge("cypresswall_admission_in_flight",
                                              "Requests admitted and not ended")) {}

std::optional<Refusal> ZoneAdmissionController::admit(const AdmissionRequest& request) {
  auto refusal = decide(request);
  if (refusal) {
    refusedCounter(refusal->reason).add();
    return refusal;
  }
  if (const auto share = shareRequestOf(request)) {
    fair_shares_->recordAdmitted(*share);
  }
  admitted_.add();
  in_flight_gauge_.set(++in_flight_);
  return std::nullopt;
}

std::optional<Refusal> ZoneAdmissionController::decide(const AdmissionRequest& request) {
  if (draining_) {
    return refuse(RefusalReason::kDraining, settings_.draining_retry_after,
                  "this node is about to stop");
  }
  if (in_flight_ >= settings_.maximum_in_flight) {
    return refuse(RefusalReason::kShedding, settings_.minimum_retry_after,
                  "this node serves as many requests as it can hold");
  }
  if (auto refusal = refuseByLoad(request)) {
    return refusal;
  }
  if (auto over_quota = chargeQuota(request)) {
    return over_quota;
  }
  return tenants_.take(request);
}

std::optional<Refusal> ZoneAdmissionController::refuseByLoad(const AdmissionRequest& request) {
  if (const auto share = shareRequestOf(request)) {
    const ShareDecision decision = fair_shares_->decide(*share);
    if (decision.retry_after) {
      return refuse(RefusalReason::kFairShare, *decision.retry_after,
                    "tenant " + request.tenant + " is above its share of " + share->pool);
    }
    if (decision.decided) {
      return std::nullopt;
    }
  }
  const auto model = modelOf(request.service);
  if (!model.empty() && shouldShed(request, model)) {
    return refuse(RefusalReason::kShedding, load_.drainTime(model),
                  "requests of this urgency are shed while model " + model + " is overloaded");
  }
  return std::nullopt;
}

std::optional<ShareRequest> ZoneAdmissionController::shareRequestOf(
    const AdmissionRequest& request) const {
  if (fair_shares_ == nullptr) {
    return std::nullopt;
  }
  const auto fleet = configuration_.current();
  ShareRequest share;
  share.tenant = request.tenant;
  share.urgency = request.urgency;
  const auto tenant = fleet->tenants.find(request.tenant);
  share.weight = tenant == fleet->tenants.end() ? 1 : tenant->second.weight;
  const auto service = fleet->http_services.find(request.service);
  if (service != fleet->http_services.end()) {
    share.pool = servicePool(service->second);
    return fair_shares_->limitsServices() ? std::optional(std::move(share)) : std::nullopt;
  }
  const auto model = modelOf(request.service);
  if (model.empty() || !fair_shares_->dividesEngines() ||
      fleet->tenants.size() < kLeastTenantsToDivide) {
    return std::nullopt;
  }
  share.pool = modelPool(model);
  share.cost = std::max(1U, request.tokens);
  share.unshed_share = load_.admittedShare(model, request.urgency);
  return share;
}

std::optional<Refusal> ZoneAdmissionController::chargeQuota(const AdmissionRequest& request) {
  if (accounts_ == nullptr) {
    return std::nullopt;
  }
  const auto fleet = configuration_.current();
  const auto tenant = fleet->tenants.find(request.tenant);
  if (tenant == fleet->tenants.end() || tenant->second.quota.rate <= 0) {
    return std::nullopt;
  }
  const configuration::TenantQuota& quota = tenant->second.quota;
  const double tokens =
      request.quota_tokens > 0 ? request.quota_tokens : quota.tokens_of_plain_request;
  const auto wait = accounts_->charge(request.tenant, {quota.rate, quota.burst},
                                      quota.counts_tokens ? tokens : 1);
  if (!wait) {
    return std::nullopt;
  }
  return refuse(RefusalReason::kTenantQuota, *wait,
                "tenant " + request.tenant + " has used up its quota");
}

bool ZoneAdmissionController::shouldShed(const AdmissionRequest& request,
                                         const common::ModelName& model) {
  const double admitted_share = load_.admittedShare(model, request.urgency);
  return admitted_share < 1 && process_.random.unit() >= admitted_share;
}

Refusal ZoneAdmissionController::refuse(RefusalReason reason, common::Duration retry_after,
                                        std::string message) {
  const double jitter = reason == RefusalReason::kShedding || reason == RefusalReason::kTenantQuota
                            ? 1 + kRetryAfterJitter * process_.random.unit()
                            : 1;
  const auto jittered = common::fromSeconds(common::toSeconds(retry_after) * jitter);
  Refusal refusal;
  refusal.reason = reason;
  refusal.retry_after =
      std::clamp(jittered, settings_.minimum_retry_after, settings_.maximum_retry_after);
  refusal.message = std::move(message);
  return refusal;
}

common::ModelName ZoneAdmissionController::modelOf(const common::ServiceName& service) const {
  const auto fleet = configuration_.current();
  const auto declared = fleet->model_services.find(service);
  if (declared != fleet->model_services.end()) {
    return declared->second.model;
  }
  return fleet->models.count(service) != 0 ? service : common::ModelName();
}

common::Counter& ZoneAdmissionController::refusedCounter(RefusalReason reason) {
  return process_.counters.counter("cypresswall_admission_refused_total", "Requests refused",
                                   "reason", nameOf(reason));
}

void ZoneAdmissionController::released(const AdmissionRequest&) {
  in_flight_gauge_.set(--in_flight_);
}

}  // namespace cypresswall::admission
