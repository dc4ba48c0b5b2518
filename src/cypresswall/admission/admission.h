/// Admission decisions based on tenant limits, urgency and load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::admission {

struct AdmissionRequest {
  common::TenantName tenant;
  common::ServiceName service;
  configuration::Urgency urgency = configuration::Urgency::kNormal;
  /// Prompt tokens plus requested output tokens; zero for plain HTTP services.
  std::uint32_t tokens = 0;
  /// Tokens by which the request counts towards the tenant's quota; zero if the caller named none.
  std::uint32_t quota_tokens = 0;
};

enum class RefusalReason {
  kTenantRequestLimit,
  kTenantTokenLimit,
  kTenantQuota,
  /// The engines or back ends are short of room, and the tenant is above its share of them.
  kFairShare,
  kShedding,
  kDraining
};

/// A refusal. It is returned at once; the refused request is not queued.
struct Refusal {
  RefusalReason reason = RefusalReason::kShedding;
  /// Time after which the caller should retry.
  common::Duration retry_after{0};
  std::string message;
};

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  /// \return an empty value if the request is admitted; the caller must then call released() once
  ///   when the request ends
  virtual std::optional<Refusal> admit(const AdmissionRequest& request) = 0;
  virtual void released(const AdmissionRequest& request) = 0;
};

}  // namespace cypresswall::admission
