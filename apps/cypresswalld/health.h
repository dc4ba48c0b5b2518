/// The daemon's health and metrics endpoints: /healthz, /readyz and /metrics.
#pragma once

#include <cstdint>
#include <functional>

#include "cypresswall/common/counters.h"
#include "cypresswall/gateway/http_routes.h"

namespace cypresswall::daemon {

/// Whether load balancers should send requests to this node, and if not, why.
enum class Readiness : std::uint8_t { kReady, kNoConfiguration, kDraining };

/// Adds handlers for the three paths to `routes`. \pre `counters` outlives the routes
void mountHealth(gateway::HttpRoutes& routes, std::function<Readiness()> readiness,
                 common::CounterRegistry& counters);

}  // namespace cypresswall::daemon
