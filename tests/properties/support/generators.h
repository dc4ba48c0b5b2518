/// RapidCheck generators of complete runs: topology, seed and fault schedule. Counterexamples
/// shrink to fewer faults, then to earlier and shorter ones.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <vector>

#include "cypresswall/simulation/fleet/fault_schedule.h"

namespace cypresswall::testing {

/// Bounds of the generated runs of a property.
struct RunBounds {
  std::vector<simulation::FaultAction> actions;
  std::uint32_t minimum_zones = 1;
  std::uint32_t maximum_zones = 3;
  std::uint32_t minimum_nodes = 3;
  std::uint32_t maximum_nodes = 4;
  std::uint32_t minimum_engines = 1;
  std::uint32_t maximum_engines = 3;
  std::uint32_t maximum_faults = 8;
  /// Time within which faults begin.
  common::Duration faults_within = std::chrono::seconds(20);
  common::Duration longest_fault = std::chrono::seconds(8);
};

/// One generated run.
struct GeneratedRun {
  std::uint64_t seed = 0;
  simulation::FleetTopology topology;
  std::vector<simulation::ScheduledFault> faults;
};

std::ostream& operator<<(std::ostream& stream, const GeneratedRun& run);

rc::Gen<GeneratedRun> runs(const RunBounds& bounds);

}  // namespace cypresswall::testing
