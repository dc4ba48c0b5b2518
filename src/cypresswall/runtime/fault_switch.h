/// Fault switch of the transports: blocks traffic between this process and selected peers. It takes
/// effect only in builds with CYPRESSWALL_FAULT_SWITCHES, which tests use; other builds never block
/// anything.
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

/// Blocked peers. An entry is an "IP:port", an IP address (all of its ports) or a prefix of IP
/// addresses that ends with a dot ("127.0.2.").
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
  /// \return true if anything received from `address` must be dropped.
  bool blocksReceivingFrom(const common::Address& address) const {
    return kFaultSwitchesCompiled && matchesAny(blocked_.receiving_from, address);
  }

  /// \return true if any entry matches `address`. Works in all builds, so that tests can call it.
  static bool matchesAny(const std::vector<std::string>& entries, const common::Address& address);

 private:
  BlockedPeers blocked_;
};

}  // namespace cypresswall::runtime
