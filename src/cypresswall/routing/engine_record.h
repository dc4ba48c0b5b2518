/// What one node knows of one engine of its zone.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// Whether an engine may be given new work, and if not, why.
enum class EngineAvailability : std::uint8_t {
  kAvailable,
  kNotReported,        ///< no load report was seen yet
  kSilent,             ///< the newest report is too old
  kUnreachable,        ///< its watcher can't reach it
  kEjected,            ///< attempts failed there; tried again after a while
  kChanging,           ///< away for a change of role or a load of weights
  kFailed,             ///< says itself that it failed
  kDraining,           ///< the zone's controller drains it for a planned change
  kDrainedByOperator,  ///< an operator drained it, or its machine
  kMachineLeaving,     ///< the machine list shows its machine as leaving or gone
};

/// \return a word for tables and logs, such as "available" or "machine-leaving".
const char* toString(EngineAvailability availability);

/// One engine as operators' tables and the zone's controller see it.
struct EngineRecord {
  configuration::EngineDeclaration declaration;
  EngineAvailability availability = EngineAvailability::kNotReported;
  /// True once a report with the engine's model and speeds was seen.
  bool reported = false;
  engines::EngineLoad load;
  /// The moment that `load` describes, by this node's clock.
  common::MonotonicTime observed_at{};
  /// The newest moment of which anything was reported, whether its load was told or not.
  common::MonotonicTime last_contact_at{};
  bool reachable = true;
  /// This node polls the engine.
  bool watched_here = false;
  bool draining = false;

  engines::EngineEndpoint endpoint() const { return {declaration.name, declaration.address}; }
};

}  // namespace cypresswall::routing
