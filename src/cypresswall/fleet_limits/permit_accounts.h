/// The accounts from which this node, as the keeper of servers, grants permits to all nodes: one
/// token bucket for each server that names a limit.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/rate_bucket.h"

namespace cypresswall::fleet_limits {

struct PermitAccountSettings {
  /// Depth of the bucket, as a time: after a pause, as many requests may be sent at once as the
  /// limit allows in this time, but at least one.
  common::Duration burst = std::chrono::seconds(1);
  /// Lowest rate, in permits per second, at which permits are granted, even if the limit is lower
  /// or zero. Some requests must be sent, since only a response shows that the limit has ended.
  double minimum_rate = 0.1;
};

/// Answer to a request for a permit.
struct Permit {
  bool granted = false;
  /// Time until the next permit is available; zero if granted.
  common::Duration wait{0};
};

/// Granted and refused permits of one account, for operators.
struct PermitCounts {
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
};

class PermitAccounts {
 public:
  explicit PermitAccounts(const PermitAccountSettings& settings) : settings_(settings) {}

  /// \param limit requests per second that the server accepts
  /// \param share fraction of the limit that this node may grant
  Permit take(const std::string& server, double limit, double share, common::MonotonicTime now);
  /// \return true if take() would grant a permit
  bool available(const std::string& server, double limit, double share, common::MonotonicTime now);
  void forget(const std::string& server) { accounts_.erase(server); }
  PermitCounts counts(const std::string& server) const;

 private:
  struct Account {
    explicit Account(common::MonotonicTime now) : bucket(now) {}
    RateBucket bucket;
    PermitCounts counts;
  };

  double rate(double limit, double share) const;
  Account& filled(const std::string& server, double limit, double share, common::MonotonicTime now);

  const PermitAccountSettings settings_;
  std::map<std::string, Account> accounts_;
};

}  // namespace cypresswall::fleet_limits
