#include "cypresswall/routing/engine_record.h"

namespace cypresswall::routing {

const char* toString(EngineAvailability availability) {
  switch (availability) {
    case EngineAvailability::kAvailable:
      return "available";
    case EngineAvailability::kNotReported:
      return "not-reported";
    case EngineAvailability::kSilent:
      return "silent";
    case EngineAvailability::kUnreachable:
      return "unreachable";
    case EngineAvailability::kEjected:
      return "ejected";
    case EngineAvailability::kPaused:
      return "paused";
    case EngineAvailability::kChanging:
      return "changing";
    case EngineAvailability::kFailed:
      return "failed";
    case EngineAvailability::kDraining:
      return "draining";
    case EngineAvailability::kDrainedByOperator:
      return "drained-by-operator";
    case EngineAvailability::kMachineLeaving:
      return "machine-leaving";
    case EngineAvailability::kLeaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace cypresswall::routing
