/// Builds the context of a gateway from a daemon's process and node.
#pragma once

#include "cypresswall/api/process_context.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/node/node.h"

namespace cypresswall::surroundings {

/// \return the context of a gateway in front of `node`; `process` and `node` must outlive it.
gateway::GatewayContext gatewayContext(const api::ProcessContext& process, node::Node& node);

}  // namespace cypresswall::surroundings
