/// The accounts of requests that this node keeps for the fleet, one for each server that names a
/// limit.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/rate_bucket.h"

namespace cypresswall::fleet_limits {

struct PermitAccountSettings {
  /// Requests of so long may be sent at once after a pause, and one at the least.
  common::Duration burst = std::chrono::seconds(1);
  /// A server that takes fewer requests a second gets these nonetheless: only an answer shows that
  /// its limit is over.
  double minimum_rate = 0.1;
};

/// One answer to who asks for a permit.
struct Permit {
  bool granted = false;
  /// Until there is one again.
  common::Duration wait{0};
};

/// Grants and refusals of one account, for operators.
struct PermitCounts {
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
};

class PermitAccounts {
 public:
  explicit PermitAccounts(const PermitAccountSettings& settings) : settings_(settings) {}

  /// \param limit requests a second that the server takes
  /// \param share part of the limit that this node may give out
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
