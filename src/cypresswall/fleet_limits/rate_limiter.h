/// Interface for enforcing the rate limits that engines and back ends announce for the whole fleet.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/rate_limit_notice.h"
#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// \param granted false if the fleet has used up the server's limit for now, or if the node that
///   grants the server's permits did not answer
using PermitCallback = std::function<void(bool granted)>;

/// A server is identified by the name of an engine incarnation or the address of a back end.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;
  /// Processes the limit that a server's response announces.
  /// \param sent_at when the request was sent
  virtual void answered(const std::string& server, const common::RateLimitNotice& notice,
                        common::MonotonicTime sent_at) = 0;
  /// \return true if the server has an active limit that is to be enforced
  virtual bool limited(const std::string& server) const = 0;
  /// Acquires a permit for one request of any kind to a server: a first attempt, a retry, a
  /// prefill-only request or a resumed response. `done` is called exactly once: before acquire()
  /// returns if no other node has to be asked, otherwise later.
  virtual void acquire(const std::string& server, PermitCallback done) = 0;
  /// \return the servers whose limit is used up for now, as far as this node knows
  virtual std::vector<std::string> exhausted() = 0;
  /// \param resource what the caller requested, such as a model; callers refused for the same
  ///   resource get staggered times
  /// \param servers the servers of the resource, all exhausted
  /// \param refusing_nodes nodes that refuse callers of the resource concurrently, at least 1
  /// \return the time after which a refused caller should retry
  virtual common::Duration retryAfter(const std::string& resource,
                                      const std::vector<std::string>& servers,
                                      std::size_t refusing_nodes) = 0;
};

}  // namespace cypresswall::fleet_limits
