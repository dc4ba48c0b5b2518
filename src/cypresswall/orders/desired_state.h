/// Computes the changes that bring an engine to the declared configuration.
#pragma once

#include <optional>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/orders/engine_control.h"
#include "cypresswall/routing/engine_record.h"

namespace cypresswall::orders {

/// Compares an engine's last report with the configuration.
/// \return the first change that the engine needs; nothing if it matches the configuration. The
///   model and its version are compared first, then the adapters, then a role pinned by an
///   operator.
std::optional<PlannedChange> declaredChange(const configuration::FleetConfiguration& fleet,
                                            const routing::EngineRecord& record);

PlannedChange roleChange(engines::EngineRole role, std::string reason);

/// \return true if an operator pinned the engine's role.
bool rolePinned(const configuration::FleetConfiguration& fleet, const common::EngineName& engine);

}  // namespace cypresswall::orders
