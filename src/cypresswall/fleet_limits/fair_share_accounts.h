/// Divides scarce engines and back ends among tenants over all nodes of a zone. Each pool has one
/// keeper, the node that AccountKeepers determines. While a pool is short of room, nodes report to
/// its keeper what each tenant asked of them; the keeper computes max-min fair shares and tells all
/// nodes which tenants are above theirs. Admission waits for no other node. A pool with enough room
/// costs no message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/account_keepers.h"
#include "cypresswall/fleet_limits/fair_share_messages.h"
#include "cypresswall/fleet_limits/pool_ledger.h"
#include "cypresswall/membership/dissemination_peers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

struct FairShareAccountSettings {
  /// False if nothing is divided.
  bool enabled = false;
  /// Time between two reports of a node on one pool, and between two rounds of its keeper, ...
  common::Duration report_interval = std::chrono::milliseconds(200);
  /// ... extended by this for each node of the zone, which bounds what a keeper receives.
  common::Duration interval_per_node = std::chrono::milliseconds(1);
  /// A node reports for so long after it last met the shortage or was told of it.
  common::Duration reporting_time = std::chrono::seconds(2);
  /// A node that was told nothing for so long divides by its own sums.
  common::Duration silence_limit = std::chrono::milliseconds(1500);
  /// Pools that a node keeps ledgers of.
  std::size_t maximum_pools = 256;
  AccountKeeperSettings keepers;
  PoolLedgerSettings ledger;
};

/// What a node counts itself, and what it is told.
class ShareHolder {
 public:
  virtual ~ShareHolder() = default;
  /// \return what was counted since the last report on the pool
  virtual DemandReport takeReport(const std::string& pool) = 0;
  /// Puts shares in force until the next ones, or until they expire.
  virtual void apply(const PoolShares& shares) = 0;
};

class FairShareAccounts {
 public:
  /// Registers the message handlers. \pre all references outlive this object
  FairShareAccounts(const FairShareAccountSettings& settings,
                    const membership::NeighbourSettings& neighbours,
                    const api::ProcessContext& context, membership::MembershipView& membership,
                    ShareHolder& holder);
  FairShareAccounts(const FairShareAccounts&) = delete;
  FairShareAccounts& operator=(const FairShareAccounts&) = delete;

  /// To be called when a request found no room in the pool, or was delayed by a queue.
  void onShortage(const std::string& pool);
  /// \return the keeper of the pool; empty while the node takes no part in dividing it
  common::NodeId keeperOf(const std::string& pool);

 private:
  /// A pool that this node reports on.
  struct Reporting {
    explicit Reporting(const PoolLedgerSettings& settings, common::MonotonicTime now)
        : told_at(now), own_ledger(settings, now) {}

    common::MonotonicTime until{};
    common::MonotonicTime told_at;
    common::NodeId keeper;
    /// Latest round of each keeper that told shares; nodes with different member lists may have
    /// different keepers.
    std::map<common::NodeId, std::uint64_t> rounds;
    /// This node's own sums, by which it divides while the keeper is silent.
    PoolLedger own_ledger;
    bool by_own_sums = false;
  };

  common::Duration interval() const;
  /// \return the pool's entry, created with a first report after the given time if there is none;
  ///   null if there are too many
  Reporting* findOrStart(const std::string& pool, common::Duration first_report_after);
  void scheduleReport(const std::string& pool, common::Duration delay);
  void report(const std::string& pool);
  void noteKeeper(Reporting& reporting, const std::string& pool);
  /// Adds to the node's own sums, and divides by them if the keeper is silent.
  void updateOwnSums(Reporting& reporting, const DemandReport& report);
  void onReport(const common::NodeId& sender, const DemandReport& report);
  void keep(const DemandReport& report);
  void closeRound(const std::string& pool);
  void onShares(const PoolShares& shares);
  /// \return false if the shares are not newer than what this node knows
  bool acceptShares(Reporting& reporting, const PoolShares& shares);
  void refuseUnreadable(const common::NodeId& sender, const std::string& pool);

  const FairShareAccountSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  ShareHolder& holder_;
  AccountKeepers keepers_;
  const std::size_t mesh_limit_;
  const membership::DisseminationPeers peers_;
  std::map<std::string, Reporting> reporting_;
  std::map<std::string, PoolLedger> ledgers_;
  std::uint64_t next_round_ = 1;
  common::Counter& reports_;
  common::Counter& shares_told_;
  common::Counter& keeper_changes_;
  common::Counter& own_divisions_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::fleet_limits
