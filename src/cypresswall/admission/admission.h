/// Decides at once whether a request may start: tenants' limits, classes, load.
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
  /// Prompt tokens plus the output tokens asked for; zero for plain HTTP services.
  std::uint32_t tokens = 0;
};

enum class RefusalReason { kTenantRequestLimit, kTenantTokenLimit, kShedding, kDraining };

/// A refusal is final and given at once.
struct Refusal {
  RefusalReason reason = RefusalReason::kShedding;
  /// When the caller should ask again.
  common::Duration retry_after{0};
  std::string message;
};

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  /// \return nothing if admitted, after which released() must be called once.
  virtual std::optional<Refusal> admit(const AdmissionRequest& request) = 0;
  virtual void released(const AdmissionRequest& request) = 0;
};

}  // namespace cypresswall::admission
