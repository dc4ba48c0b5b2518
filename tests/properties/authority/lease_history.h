/// Records the holder of each zone's lease in true time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

class LeaseHistory {
 public:
  /// Interval at which all processes that are not paused are sampled. A process that resumes from a
  /// pause is also sampled before it runs anything else.
  static constexpr common::Duration kPeriod = std::chrono::milliseconds(5);

  explicit LeaseHistory(simulation::SimulatedFleet& fleet);

  /// \return a description of each time at which two processes held the same zone's lease, or at
  ///   which a held epoch was not above all epochs held before.
  const std::vector<std::string>& violations() const { return violations_; }
  /// \return the number of changes of a zone's lease to a new holder or epoch.
  std::uint64_t holderChanges() const { return changes_; }
  /// \return the lengths of all periods in which a zone had no holder.
  const std::vector<common::Duration>& gaps() const { return gaps_; }
  /// \return true if each zone currently has exactly one holder.
  bool everyZoneHasHolder() const;

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
