#include "cypresswall/simulation/external_call.h"

namespace cypresswall::simulation {

bool ExternalPath::occurs(double share, FaultKind kind) const {
  if (share <= 0 || simulation_.random().unit() >= share) {
    return false;
  }
  simulation_.faults().add(kind);
  return true;
}

}  // namespace cypresswall::simulation
