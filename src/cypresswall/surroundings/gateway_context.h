/// What a gateway needs of a daemon's node and process.
#pragma once

#include "cypresswall/api/process_context.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/node/node.h"

namespace cypresswall::surroundings {

/// \return the context of a gateway before `node`; both must outlive it.
gateway::GatewayContext gatewayContext(const api::ProcessContext& process, node::Node& node);

}  // namespace cypresswall::surroundings
