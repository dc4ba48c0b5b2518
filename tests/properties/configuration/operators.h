/// Operators of a simulated fleet who submit configuration changes, alone and concurrently, and
/// record the reported results.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

/// One change as seen by its operator. Each declares a tenant that no other change declares.
struct OperatorChange {
  std::string tenant;
  common::NodeId node;
  std::optional<configuration::CommitResult> result;
  common::MonotonicTime answered_at;
  /// Number of the race that it belongs to; all changes of a race expect the same version.
  std::optional<std::uint64_t> race;
};

class Operators {
 public:
  explicit Operators(simulation::SimulatedFleet& fleet) : fleet_(fleet) {}

  /// Submits one change at a node.
  OperatorChange& change(std::size_t node);
  /// Submits two changes at two nodes, both expecting the first node's current version.
  void submitRacingChanges(std::size_t first, std::size_t second);
  /// Schedules changes and races at random nodes and times.
  void planChanges(std::uint32_t changes, std::uint32_t races, common::Duration within);

  const std::deque<OperatorChange>& changes() const { return changes_; }

 private:
  OperatorChange& submit(std::size_t node, std::optional<std::uint64_t> expected_version);

  simulation::SimulatedFleet& fleet_;
  std::deque<OperatorChange> changes_;
  std::uint64_t races_ = 0;
};

}  // namespace cypresswall::testing
