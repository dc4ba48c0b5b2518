/// Settings of the detection of lost links to servers.
#pragma once

#include <chrono>
#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::reachability {

struct ReachabilitySettings {
  /// False: the path to servers never counts as lost.
  bool enabled = true;
  /// Number of hosts to which connections fail, with none established in between, after which other
  /// servers are probed.
  std::size_t suspicious_hosts = 2;
  /// Number of servers that are probed first, while the path works; if one of them is reached, the
  /// path still does.
  std::size_t first_probes = 2;
  /// Number of servers that are probed at a time before the path counts as lost, and while it is,
  /// on different hosts. While three quarters of all servers are down, at least one of six still
  /// answers in four rounds of five.
  std::size_t probed_servers = 6;
  /// Interval between the probes of a lost path.
  common::Duration probe_interval = std::chrono::milliseconds(250);
  /// Number of successful rounds of probes in a row after which a lost path counts as working
  /// again. Hysteresis: links that fail and return each second must not change the state each time.
  std::size_t rounds_to_return = 2;
};

}  // namespace cypresswall::reachability
