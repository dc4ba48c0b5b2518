/// Admission controller of a gateway node.
#pragma once

#include <optional>

#include "cypresswall/admission/admission.h"
#include "cypresswall/admission/admission_settings.h"
#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/admission/load_probe.h"
#include "cypresswall/admission/tenant_limits.h"
#include "cypresswall/fleet_limits/tenant_accounts.h"

namespace cypresswall::admission {

/// Refuses, in this order: all requests while the node drains; requests above the in-flight limit;
/// requests to scarce engines or back ends, of tenants above their fair share; requests to an
/// overloaded model, lowest urgency first; requests above the tenant's quota or rate limit.
class ZoneAdmissionController final : public AdmissionController {
 public:
  ZoneAdmissionController(const api::ProcessContext& process,
                          const configuration::ConfigurationView& configuration,
                          membership::MembershipView& membership, const LoadProbe& load,
                          const AdmissionSettings& settings = {});

  std::optional<Refusal> admit(const AdmissionRequest& request) override;
  void released(const AdmissionRequest& request) override;
  /// Sets the accounts of tenants' quotas; without them, quotas are not enforced.
  /// \pre `accounts` outlives this object
  void setTenantAccounts(fleet_limits::TenantAccounts& accounts) { accounts_ = &accounts; }
  /// Sets the division of scarce engines and back ends among tenants; without it there is none.
  /// \pre `shares` outlives this object
  void setFairShares(FairShares& shares) { fair_shares_ = &shares; }
  /// While draining, new requests are refused; running requests are not affected.
  void setDraining(bool draining) { draining_ = draining; }
  std::uint32_t inFlight() const { return in_flight_; }

 private:
  std::optional<Refusal> decide(const AdmissionRequest& request);
  /// Refuses by the tenant's share of the pool or, if none is in force, by urgency.
  std::optional<Refusal> refuseByLoad(const AdmissionRequest& request);
  /// \return what a division of the request's engines or back ends has to know; empty if they are
  ///   not divided
  std::optional<ShareRequest> shareRequestOf(const AdmissionRequest& request) const;
  std::optional<Refusal> chargeQuota(const AdmissionRequest& request);
  bool shouldShed(const AdmissionRequest& request, const common::ModelName& model);
  Refusal refuse(RefusalReason reason, common::Duration retry_after, std::string message);
  /// \return the model of a service; the name itself if it is a model's name; empty for plain HTTP
  ///   services
  common::ModelName modelOf(const common::ServiceName& service) const;
  common::Counter& refusedCounter(RefusalReason reason);

  const api::ProcessContext& process_;
  const configuration::ConfigurationView& configuration_;
  const LoadProbe& load_;
  const AdmissionSettings settings_;
  TenantLimits tenants_;
  fleet_limits::TenantAccounts* accounts_ = nullptr;
  FairShares* fair_shares_ = nullptr;
  common::Counter& admitted_;
  common::Counter& in_flight_gauge_;
  std::uint32_t in_flight_ = 0;
  bool draining_ = false;
};

}  // namespace cypresswall::admission
