/// Fault switch of the transports: cuts this process off from chosen peers. It exists in builds
/// with CYPRESSWALL_FAULT_SWITCHES only, which tests use; elsewhere nothing is ever blocked.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::runtime {

#ifdef CYPRESSWALL_FAULT_SWITCHES
inline constexpr bool kFaultSwitchesCompiled = true;
#else
inline constexpr bool kFaultSwitchesCompiled = false;
#endif

/// Which peers are cut off. An entry is an "IP:port", an IP number (all its ports) or the beginning
/// of IP numbers, ending with a dot ("127.0.2.").
struct BlockedPeers {
  std::vector<std::string> sending_to;
  std::vector<std::string> receiving_from;
};

class FaultSwitch {
 public:
  void set(BlockedPeers blocked) { blocked_ = std::move(blocked); }
  /// \return true if nothing may be sent to `address`.
  bool blocksSendingTo(const common::Address& address) const {
    return kFaultSwitchesCompiled && matchesAny(blocked_.sending_to, address);
  }
  /// \return true if what comes from `address` must be dropped.
  bool blocksReceivingFrom(const common::Address& address) const {
    return kFaultSwitchesCompiled && matchesAny(blocked_.receiving_from, address);
  }

  /// \return true if any entry covers `address`; independent of the build, for tests.
  static bool matchesAny(const std::vector<std::string>& entries, const common::Address& address);

 private:
  BlockedPeers blocked_;
};

}  // namespace cypresswall::runtime
