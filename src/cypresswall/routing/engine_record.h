/// A node's record of one engine of its zone.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// Whether an engine may receive new work, and if not, why.
enum class EngineAvailability : std::uint8_t {
  kAvailable,
  kNotReported,        ///< no load report was received yet
  kSilent,             ///< the newest report is too old
  kUnreachable,        ///< the node that polls the engine can't reach it
  kEjected,            ///< temporarily removed from routing because attempts failed
  kPaused,             ///< the engine asked this node for a time without requests
  kChanging,           ///< the engine is changing its role or loading weights
  kFailed,             ///< the engine reported that it failed
  kDraining,           ///< the zone's controller drains it for a planned change
  kDrainedByOperator,  ///< an operator drained it or its machine
  kMachineLeaving,     ///< the machine list shows its machine as leaving or gone
  kLeaving,            ///< the engine said in an answer to this node that it leaves
};

/// \return a name for tables and logs, such as "available" or "machine-leaving".
const char* toString(EngineAvailability availability);

/// State of one engine, as used for routing, by the zone's controller and in operators' tables.
struct EngineRecord {
  configuration::EngineDeclaration declaration;
  EngineAvailability availability = EngineAvailability::kNotReported;
  /// True once a report with the engine's model and speeds was received.
  bool reported = false;
  engines::EngineLoad load;
  /// The time that `load` describes, on this node's clock.
  common::MonotonicTime observed_at{};
  /// The time of the engine's last report known here. Later than `observed_at` if the load in that
  /// report was not published to this node.
  common::MonotonicTime last_contact_at{};
  bool reachable = true;
  /// This node polls the engine.
  bool watched_here = false;
  bool draining = false;

  engines::EngineEndpoint endpoint() const { return {declaration.name, declaration.address}; }
};

}  // namespace cypresswall::routing
