/// Which change an engine needs so that it serves what operators declared.
#pragma once

#include <optional>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/orders/engine_control.h"
#include "cypresswall/routing/engine_record.h"

namespace cypresswall::orders {

/// Compares an engine's last report with the configuration.
/// \return the most urgent change: model and version, then adapters, then a pinned role; nothing
///   if the engine is as declared, or not to be touched
std::optional<PlannedChange> declaredChange(const configuration::FleetConfiguration& fleet,
                                            const routing::EngineRecord& record);

/// \return a change of role.
PlannedChange roleChange(engines::EngineRole role, std::string reason);

/// \return true if an operator fixed the engine's role.
bool rolePinned(const configuration::FleetConfiguration& fleet, const common::EngineName& engine);

}  // namespace cypresswall::orders
