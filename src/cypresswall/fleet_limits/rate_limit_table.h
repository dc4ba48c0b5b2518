/// The limits on requests that servers name, as far as a node knows them. Pure state.
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

/// What is known of one server's limit.
struct RateLimit {
  /// Rises with each change of the limit, over all nodes.
  std::uint64_t version = 0;
  /// Empty: the server has named a limit and names none any more.
  std::optional<double> requests_per_second;
  /// When an answer last said so.
  common::MonotonicTime named_at{};

  bool active() const { return requests_per_second.has_value(); }
};

struct RateLimitTableSettings {
  /// A limit of which nothing was heard for so long is forgotten.
  common::Duration retention = std::chrono::minutes(1);
  /// For so long after a limit was named a higher one, or none, changes nothing: of several values
  /// that a server names in turns the lowest holds.
  common::Duration raise_delay = std::chrono::seconds(1);
  /// More than a server gets from any fleet: the same as no limit.
  double unlimited_above = 10000;
  /// Servers beyond so many are not remembered, some 100 bytes each.
  std::size_t maximum_servers = 4096;
};

class RateLimitTable {
 public:
  explicit RateLimitTable(const RateLimitTableSettings& settings) : settings_(settings) {}

  /// Takes in what an answer to a request said that was sent at `sent_at`.
  /// \return true if other nodes have to know of it: a limit that is new, changed or over
  bool answered(const std::string& server, const common::RateLimitNotice& notice,
                common::MonotonicTime sent_at, common::MonotonicTime now);
  /// Takes in what another node knows. Of two changes that were made at the same time the lower
  /// limit holds. \return true if it was news to this node
  bool merge(const std::string& server, const RateLimit& other, common::MonotonicTime now);
  /// Forgets what is old. \return the servers that were forgotten
  std::vector<std::string> expire(common::MonotonicTime now);

  /// \return the limit of a server, a null pointer if it stands under none
  const RateLimit* activeLimit(const std::string& server) const;
  /// Limits that stand, and those that ended lately.
  const std::map<std::string, RateLimit>& all() const { return limits_; }
  /// \return how many servers stand under a limit
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
