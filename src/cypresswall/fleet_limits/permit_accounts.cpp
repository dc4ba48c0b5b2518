#include "cypresswall/fleet_limits/permit_accounts.h"

#include <algorithm>

namespace cypresswall::fleet_limits {

double PermitAccounts::rate(double limit, double share) const {
  return std::max(limit * share, settings_.minimum_rate);
}

PermitAccounts::Account& PermitAccounts::filled(const std::string& server, double limit,
                                                double share, common::MonotonicTime now) {
  Account& account = accounts_.try_emplace(server, now).first->second;
  const double depth = std::max(1.0, limit * share * common::toSeconds(settings_.burst));
  account.bucket.fill(rate(limit, share), depth, now);
  return account;
}

Permit PermitAccounts::take(const std::string& server, double limit, double share,
                            common::MonotonicTime now) {
  Account& account = filled(server, limit, share, now);
  if (account.bucket.take()) {
    ++account.counts.granted;
    return {true, common::Duration{0}};
  }
  ++account.counts.refused;
  return {false, account.bucket.wait(rate(limit, share))};
}

bool PermitAccounts::available(const std::string& server, double limit, double share,
                               common::MonotonicTime now) {
  return filled(server, limit, share, now).bucket.available();
}

PermitCounts PermitAccounts::counts(const std::string& server) const {
  const auto account = accounts_.find(server);
  return account == accounts_.end() ? PermitCounts{} : account->second.counts;
}

}  // namespace cypresswall::fleet_limits
