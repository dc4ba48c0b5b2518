/// The platform's list of live and leaving machines, which may be out of date.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
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
  /// IP addresses of the machine; engines, services and daemons at these addresses run on it.
  std::vector<std::string> addresses;
};

enum class MachineListFailure { kUnavailable };

using MachineListCallback =
    std::function<void(common::Result<std::vector<Machine>, MachineListFailure>)>;

class MachineList {
 public:
  virtual ~MachineList() = default;
  /// Reads the machines of one zone. The callback is called exactly once, never before fetch()
  /// returns.
  virtual void fetch(const common::ZoneName& zone, MachineListCallback callback) = 0;
  /// \return true if each node has the list locally, so that reading it needs no remote call.
  virtual bool isLocal() const { return false; }
  /// \return a number that changes with each change of the list; nothing if changes are noticed
  /// only
  ///   by reading the list
  virtual std::optional<std::uint64_t> revision() const { return std::nullopt; }
};

}  // namespace cypresswall::object_store
