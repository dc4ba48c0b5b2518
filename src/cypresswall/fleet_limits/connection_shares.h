/// Division of the connections that servers accept among the nodes of the fleet.
#pragma once

#include <cstddef>

#include "cypresswall/common/counters.h"
#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"

namespace cypresswall::fleet_limits {

struct ConnectionLimitSettings {
  /// Number of connections that each engine and back end accepts from all nodes together.
  std::size_t per_server = 100;
};

/// \return how a node's share of a server's connections is determined. Unlike a repeat, which
/// counts
///   for a whole window, a connection counts only while it is open: a node with a smaller share
///   closes idle ones at once. The window thus only covers the time for which a server may count
///   the idle connections of a machine without power.
LocalShareSettings connectionShareSettings(const LocalShareSettings& general,
                                           common::Duration idle_limit);

/// A node keeps idle connections to a server only while all its connections to it, idle and in use,
/// are no more than its share. The shares of all nodes add up to at most
/// ConnectionLimitSettings::per_server, also while member lists differ (see LocalShare). A node
/// whose share is below one connection keeps none.
class ConnectionShares {
 public:
  /// \param local_share share of a fleet-wide limit that this node may use, from 0 to 1
  ConnectionShares(const ConnectionLimitSettings& settings, common::CounterRegistry& counters,
                   LocalShareFunction local_share);

  /// \return number of connections to one server that this node may have, idle and in use, so that
  ///   idle ones don't bring the server over its limit
  std::size_t perServer() const;

 private:
  const ConnectionLimitSettings settings_;
  const LocalShareFunction local_share_;
  common::Counter& share_gauge_;
};

}  // namespace cypresswall::fleet_limits
