#include "cypresswall/fleet_limits/connection_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cypresswall::fleet_limits {
namespace {

/// Time within which a node closes the idle connections that a smaller share leaves over.
constexpr common::Duration kClosingTime = std::chrono::milliseconds(500);

}  // namespace

LocalShareSettings connectionShareSettings(const LocalShareSettings& general,
                                           common::Duration idle_limit) {
  LocalShareSettings settings = general;
  settings.window =
      std::max(common::Duration{0}, idle_limit - settings.settling_time) + kClosingTime;
  settings.gauge = "cypresswall_connections_part";
  return settings;
}

ConnectionShares::ConnectionShares(const ConnectionLimitSettings& settings,
                                   common::CounterRegistry& counters,
                                   LocalShareFunction local_share)
    : settings_(settings),
      local_share_(std::move(local_share)),
      share_gauge_(counters.gauge("cypresswall_connections_share",
                                  "Connections to one server up to which idle ones are kept")) {}

std::size_t ConnectionShares::perServer() const {
  const double share = std::floor(static_cast<double>(settings_.per_server) * local_share_());
  share_gauge_.set(share);
  return static_cast<std::size_t>(share);
}

}  // namespace cypresswall::fleet_limits
