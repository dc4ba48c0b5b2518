/// The keeper's view of one pool that is short of room: what all nodes' tenants ask for, how much
/// the pool takes, and the max-min fair shares that follow.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cypresswall/common/time.h"
#include "cypresswall/fleet_limits/fair_share_messages.h"

namespace cypresswall::fleet_limits {

struct PoolLedgerSettings {
  /// Time constant of the averages of demand and outcomes.
  common::Duration smoothing = std::chrono::milliseconds(700);
  /// A class is short of room if more than this fraction of its attempts found none, ...
  double short_refused_share = 0.02;
  /// ... or more than this fraction of its answers was delayed by a queue.
  double short_delayed_share = 0.2;
  /// While a class is short only of time, its capacity falls by this fraction a second, ...
  double decrease_per_second = 1.0;
  /// ... down to this fraction of the most that it was served lately.
  double least_capacity_share = 0.75;
  /// While it is not short, its capacity rises by this fraction a second, until it covers the
  /// demand, ...
  double increase_per_second = 0.25;
  /// ... and by this fraction for a time near the most that was served lately.
  double probing_per_second = 0.08;
  common::Duration probing_time = std::chrono::seconds(3);
  /// Relative excess over its share up to which a tenant is not limited. Covers the error of the
  /// averages.
  double tolerated_excess = 0.05;
  /// A pool without shortage for this time is divided no longer.
  common::Duration calm_time = std::chrono::seconds(2);
  /// Tenants, counted for each urgency class, that a ledger keeps.
  std::size_t maximum_tenants = 2048;
  /// Tenants above their share that are told of; those with the largest excess.
  std::size_t told_tenants = 64;
};

/// Sums the nodes' reports and computes shares at the end of each round. No I/O; all times are
/// passed in.
class PoolLedger {
 public:
  PoolLedger(const PoolLedgerSettings& settings, common::MonotonicTime now);

  /// \pre isReadable(report)
  void add(const DemandReport& report);
  /// Ends a round.
  /// \return the classes that are short of room and the tenants that are above their shares;
  ///   `pool`, `keeper` and `round` are left to the caller
  PoolShares close(common::MonotonicTime now);
  /// \return true if the pool was not short of room for PoolLedgerSettings::calm_time
  bool calm(common::MonotonicTime now) const { return now - short_at_ >= settings_.calm_time; }

  /// \return false if the report holds a number that is negative, not finite or beyond any load
  static bool isReadable(const DemandReport& report);

 private:
  static constexpr std::size_t kClasses = 4;

  struct Tenant {
    /// Counts of the present round.
    double cost = 0;
    std::uint32_t requests = 0;
    double weight = 1;
    /// Average cost per second.
    double demand = 0;
    bool known = false;
  };
  struct Rates {
    double asked = 0;
    double unshed = 0;
    double admitted = 0;
    double placed = 0;
    double refused = 0;
    double answered = 0;
    double delayed = 0;
  };
  struct Class {
    Rates round;
    /// Rates of the last round, and their average.
    Rates last;
    Rates average;
    /// Cost per second that the pool takes of this class; empty until it was short of room.
    std::optional<double> capacity;
    /// Most cost per second that was served lately.
    double best_served = 0;
    /// Time for which the capacity was raised near that.
    double probing_seconds = 0;
  };
  using TenantKey = std::pair<std::uint8_t, common::TenantName>;

  void closeAverages(double seconds);
  void closeTenants(double seconds, double kept);
  void updateCapacity(Class& urgency_class, double seconds, common::MonotonicTime now);
  void raiseCapacity(Class& urgency_class, double seconds, common::MonotonicTime now);
  bool refuses(const Rates& rates) const;
  /// \param least_share share of delayed answers above which the class counts as delayed
  bool delays(const Rates& rates, double least_share) const;
  /// \return the room of a class in cost per second; empty if it is not limited
  std::optional<double> roomOf(std::size_t urgency) const;
  /// Divides `room` among the tenants of one class.
  /// \return the cost per second that they take of it
  double divide(std::uint8_t urgency, double room, PoolShares& shares) const;
  void divideClasses(PoolShares& shares) const;
  void divideUrgentFirst(PoolShares& shares) const;

  const PoolLedgerSettings settings_;
  bool urgent_first_ = false;
  std::array<Class, kClasses> classes_;
  /// All classes together; used if more urgent classes take their room first.
  Class whole_;
  std::map<TenantKey, Tenant> tenants_;
  std::uint32_t rounds_ = 0;
  common::MonotonicTime closed_at_;
  common::MonotonicTime short_at_;
};

}  // namespace cypresswall::fleet_limits
