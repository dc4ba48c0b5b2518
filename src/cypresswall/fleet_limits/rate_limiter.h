/// Keeps the limits that engines and back ends name on requests from the whole fleet.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/rate_limit_notice.h"
#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// \param granted false if the fleet has no request left for the server now
using PermitCallback = std::function<void(bool granted)>;

/// Servers are known by the name of an engine's life or the address of a back end.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;
  /// Takes in what an answer of a server says of its limit.
  /// \param sent_at when the request that it answers was sent
  virtual void answered(const std::string& server, const common::RateLimitNotice& notice,
                        common::MonotonicTime sent_at) = 0;
  /// \return true if the server stands under a limit that is to be kept
  virtual bool limited(const std::string& server) const = 0;
  /// Asks for a permit to send one request to a server, whatever comes of it then: a first attempt,
  /// a repeat, a prompt alone, a resumed answer. `done` is called once, before the call returns
  /// where no other node has to be asked.
  virtual void acquire(const std::string& server, PermitCallback done) = 0;
  /// \return the servers that, as far as this node knows, have no request left now
  virtual std::vector<std::string> exhausted() = 0;
  /// \param demand names what is asked for, such as a model; its refused callers return in turns
  /// \param servers those that would serve it but are exhausted
  /// \param refusing_nodes nodes that refuse such callers at the same time, at least 1
  /// \return when a caller should come back
  virtual common::Duration retryAfter(const std::string& resource,
                                      const std::vector<std::string>& servers,
                                      std::size_t refusing_nodes) = 0;
};

}  // namespace cypresswall::fleet_limits
