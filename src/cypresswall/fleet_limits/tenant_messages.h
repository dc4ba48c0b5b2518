/// Messages by which the nodes of a zone enforce tenants' limits.
#pragma once

#include <cstdint>

#include "cypresswall/api/envelope.h"

namespace cypresswall::fleet_limits {

/// Reports the cost of requests that the sender has admitted since its last report, to the keeper
/// of the tenant's account. The limit is the one in force at the sender.
struct TenantUsage {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 4);
  common::TenantName tenant;
  double cost = 0;
  double rate = 0;
  double burst = 0;
  MSGPACK_DEFINE(tenant, cost, rate, burst)
};

/// Tells a node for how long to refuse the tenant because its account is overdrawn.
struct TenantBalance {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 5);
  common::TenantName tenant;
  std::uint32_t wait_milliseconds = 0;
  MSGPACK_DEFINE(tenant, wait_milliseconds)
};

}  // namespace cypresswall::fleet_limits
