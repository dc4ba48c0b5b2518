/// Enforces tenants' limits as sums over all nodes of a zone. Each tenant has one account, held by
/// the node that AccountKeepers determines. A node admits requests at once and reports their cost
/// to the account's keeper; when the account becomes overdrawn, the keeper tells all nodes for how
/// long to refuse the tenant. Admission thus waits for no other node, and the tenant
/// exceeds its limit by at most what arrives during one round trip to the keeper.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/fleet_limits/account_keepers.h"
#include "cypresswall/fleet_limits/tenant_messages.h"
#include "cypresswall/membership/dissemination_peers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

/// Limit on the requests of one tenant, in units of cost.
struct TenantLimit {
  /// Units per second; zero means no limit.
  double rate = 0;
  /// Units that the tenant may use at once after a pause.
  double burst = 0;
};

struct TenantAccountSettings {
  /// Number of regions in the fleet. Each has accounts of its own and an equal part of each limit.
  std::size_t regions = 1;
  /// Minimum time between two reports of a node on one tenant.
  common::Duration report_interval = std::chrono::milliseconds(10);
  /// Bounds of the time for which a keeper tells nodes to refuse a tenant.
  common::Duration minimum_wait = std::chrono::milliseconds(250);
  common::Duration maximum_wait = std::chrono::seconds(10);
  AccountKeeperSettings keepers;
};

class TenantAccounts {
 public:
  /// Registers the message handlers. \pre all references outlive this object
  TenantAccounts(const TenantAccountSettings& settings,
                 const membership::NeighbourSettings& neighbours,
                 const api::ProcessContext& context, membership::MembershipView& membership);
  TenantAccounts(const TenantAccounts&) = delete;
  TenantAccounts& operator=(const TenantAccounts&) = delete;

  /// Charges one request to the tenant's account.
  /// \return nothing if the request is admitted; otherwise the time until the account is expected
  ///   to be balanced again, and nothing is charged
  std::optional<common::Duration> charge(const common::TenantName& tenant, const TenantLimit& limit,
                                         double cost);

 private:
  /// This node's own use of one tenant's limit.
  struct LocalUse {
    TenantLimit limit;
    double unreported = 0;
    common::MonotonicTime reported_at{};
    bool report_scheduled = false;
    common::MonotonicTime refused_until{};
  };
  /// An account that this node keeps.
  struct Account {
    double balance = 0;
    common::MonotonicTime filled_at{};
    bool overdrawn = false;
  };

  void report(const common::TenantName& tenant);
  void onUsage(const common::NodeId& sender, const TenantUsage& usage);
  void onBalance(const TenantBalance& balance);
  /// Charges an account that this node keeps, and informs the nodes that have to refuse the tenant.
  void withdraw(const common::NodeId& reporter, const TenantUsage& usage);
  void inform(const common::NodeId& node, const common::TenantName& tenant, common::Duration wait);
  /// \return true if this node did not know yet that it has to refuse the tenant for so long
  bool refuseFor(const common::TenantName& tenant, common::Duration wait);

  const TenantAccountSettings settings_;
  const api::ProcessContext& context_;
  AccountKeepers keepers_;
  const membership::DisseminationPeers peers_;
  std::map<common::TenantName, LocalUse> uses_;
  std::map<common::TenantName, Account> accounts_;
  common::Counter& reports_;
  common::Counter& overdrawn_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::fleet_limits
