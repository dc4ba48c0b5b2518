/// The permit accounts that this node holds for the fleet as keeper: one token bucket for each
/// server that names a limit.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/rate_bucket.h"

namespace cypresswall::fleet_limits {

struct PermitAccountSettings {
  /// Bucket depth as a time: a burst after an idle period may contain the requests of this time,
  /// and at least one.
  common::Duration burst = std::chrono::seconds(1);
  /// Lower bound in requests per second, applied to servers with a lower limit: only a response can
  /// show that the limit no longer applies.
  double minimum_rate = 0.1;
};

/// Response to a permit request.
struct Permit {
  bool granted = false;
  /// Time until the next permit is available.
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
