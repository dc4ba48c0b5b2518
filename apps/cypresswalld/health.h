/// The daemon's own HTTP paths: /healthz, /readyz and /metrics.
#pragma once

#include "cypresswall/common/counters.h"
#include "cypresswall/gateway/http_routes.h"
#include "cypresswall/node/node.h"

namespace cypresswall::daemon {

/// Adds the paths to `routes`. \pre `node` and `counters` outlive the routes
void mountHealth(gateway::HttpRoutes& routes, const node::Node& node,
                 common::CounterRegistry& counters);

}  // namespace cypresswall::daemon
