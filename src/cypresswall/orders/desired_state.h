/// Computes the change that brings an engine to the declared configuration.
#pragma once

#include <optional>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/orders/engine_control.h"
#include "cypresswall/routing/engine_record.h"

namespace cypresswall::orders {

/// Compares an engine's last report with the configuration.
/// \return the first change needed, in the order model and version, adapters, pinned role; nothing
///   if the engine is as declared
std::optional<PlannedChange> declaredChange(const configuration::FleetConfiguration& fleet,
                                            const routing::EngineRecord& record);

PlannedChange roleChange(engines::EngineRole role, std::string reason);

/// \return true if an operator pinned the engine's role.
bool rolePinned(const configuration::FleetConfiguration& fleet, const common::EngineName& engine);

}  // namespace cypresswall::orders
