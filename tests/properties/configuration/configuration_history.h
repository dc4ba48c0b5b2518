/// Records the configuration in force on every process of a fleet.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

class ConfigurationHistory {
 public:
  /// Interval at which every process is sampled.
  static constexpr common::Duration kPeriod = std::chrono::milliseconds(50);

  explicit ConfigurationHistory(simulation::SimulatedFleet& fleet);

  /// \return a description of each violation: a version that decreased, or one version with two
  ///   contents.
  const std::vector<std::string>& violations() const { return violations_; }
  /// \return true if every process that ran without a pause over the whole interval held at least
  ///   `version` at its end; other processes are ignored.
  bool inForceEverywhere(std::uint64_t version, common::MonotonicTime from,
                         common::MonotonicTime to) const;
  /// \return true if a network partition, between zones or inside one, was observed in that
  ///   interval.
  bool cutWithin(common::MonotonicTime from, common::MonotonicTime to) const;

 private:
  struct Sample {
    common::MonotonicTime at;
    std::uint64_t version = 0;
    bool awake = true;
  };

  void sampleAll();
  void sampleNode(const simulation::NodeSlot& slot);

  simulation::SimulatedFleet& fleet_;
  std::map<common::NodeId, std::vector<Sample>> samples_;
  std::map<std::uint64_t, std::string> contents_;
  std::vector<common::MonotonicTime> cuts_;
  std::vector<std::string> violations_;
};

}  // namespace cypresswall::testing
