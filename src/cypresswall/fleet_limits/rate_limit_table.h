/// The rate limits that servers announce, as known to one node. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/rate_limit_notice.h"
#include "cypresswall/common/time.h"

namespace cypresswall::fleet_limits {

/// The last known state of one server's limit.
struct RateLimit {
  /// Incremented with each change of the limit. If two nodes know different states, the one with
  /// the higher version is newer.
  std::uint64_t version = 0;
  /// Empty if the server named a limit earlier but no longer does.
  std::optional<double> requests_per_second;
  /// When a response last confirmed this state.
  common::MonotonicTime named_at{};

  bool active() const { return requests_per_second.has_value(); }
};

struct RateLimitTableSettings {
  /// A limit that was not confirmed for this long is removed.
  common::Duration retention = std::chrono::minutes(1);
  /// Minimum time between the last response that confirmed a limit and a response that raises or
  /// lifts the limit. If a server alternates between several values, the lowest one thus applies.
  common::Duration raise_delay = std::chrono::seconds(1);
  /// A limit of more than this many requests per second is treated as no limit, as no fleet sends
  /// that many.
  double unlimited_above = 10000;
  /// Maximum number of servers in the table, about 100 bytes each; further ones are ignored.
  std::size_t maximum_servers = 4096;
};

class RateLimitTable {
 public:
  explicit RateLimitTable(const RateLimitTableSettings& settings) : settings_(settings) {}

  /// Processes the notice in the response to a request that was sent at `sent_at`.
  /// \return true if the limit is new, changed or over, and has to be sent to other nodes
  bool answered(const std::string& server, const common::RateLimitNotice& notice,
                common::MonotonicTime sent_at, common::MonotonicTime now);
  /// Merges the state known to another node. Of two concurrent changes with the same version the
  /// lower limit wins. \return true if the table changed
  bool merge(const std::string& server, const RateLimit& other, common::MonotonicTime now);
  /// Removes outdated limits. \return the servers that were removed
  std::vector<std::string> expire(common::MonotonicTime now);

  /// \return the active limit of a server, a null pointer if there is none
  const RateLimit* activeLimit(const std::string& server) const;
  /// \return active limits and those that ended recently
  const std::map<std::string, RateLimit>& all() const { return limits_; }
  /// \return the number of servers with an active limit
  std::size_t activeCount() const;

 private:
  void change(RateLimit& limit, std::optional<double> value, common::MonotonicTime now);
  bool named(const std::string& server, double value, common::MonotonicTime sent_at,
             common::MonotonicTime now);
  bool namedNone(const std::string& server, common::MonotonicTime sent_at,
                 common::MonotonicTime now);

  const RateLimitTableSettings settings_;
  std::map<std::string, RateLimit> limits_;
};

}  // namespace cypresswall::fleet_limits
