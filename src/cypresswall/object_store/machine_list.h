/// The platform's lagging list of machines, live and leaving.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/result.h"

namespace cypresswall::object_store {

enum class MachineState { kLive, kLeaving, kGone };

struct Machine {
  common::MachineName name;
  common::ZoneName zone;
  MachineState state = MachineState::kLive;
  /// IP numbers of the machine; engines, services and daemons on them belong to it.
  std::vector<std::string> addresses;
};

enum class MachineListFailure { kUnavailable };

using MachineListCallback =
    std::function<void(common::Result<std::vector<Machine>, MachineListFailure>)>;

class MachineList {
 public:
  virtual ~MachineList() = default;
  /// Reads the machines of one zone. The callback is called exactly once, never before the call
  /// returns.
  virtual void fetch(const common::ZoneName& zone, MachineListCallback callback) = 0;
  /// \return true if the list is at hand on each node, so that reading it calls nobody.
  virtual bool isLocal() const { return false; }
};

}  // namespace cypresswall::object_store
