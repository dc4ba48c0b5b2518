/// Watches who holds each zone's lease, in true time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

class LeaseHistory {
 public:
  /// Asks every awake process at each step of kPeriod, and each process that wakes before it runs
  /// anything.
  static constexpr common::Duration kPeriod = std::chrono::milliseconds(5);

  explicit LeaseHistory(simulation::SimulatedFleet& fleet);

  /// \return a description of each moment at which two processes held one zone's lease, or at which
  ///   an epoch was held that is not above all that others held before.
  const std::vector<std::string>& violations() const { return violations_; }
  /// \return leases that lapsed or were lost while their holder was alive and had not given up.
  std::uint64_t holderChanges() const { return changes_; }
  /// \return how long each zone was without a holder, once per gap.
  const std::vector<common::Duration>& gaps() const { return gaps_; }
  /// \return true if each zone has exactly one holder now.
  bool everyZoneHeld() const;

 private:
  struct Zone {
    common::Epoch highest;
    common::NodeId holder;
    common::MonotonicTime last_held;
  };

  void sampleAll();
  void sampleNode(const simulation::NodeSlot& slot);

  simulation::SimulatedFleet& fleet_;
  std::map<std::uint32_t, Zone> zones_;
  std::vector<std::string> violations_;
  std::vector<common::Duration> gaps_;
  std::uint64_t changes_ = 0;
};

}  // namespace cypresswall::testing
