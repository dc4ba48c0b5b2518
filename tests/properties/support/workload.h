/// Model requests of callers at random times and nodes of a fleet.
#pragma once

#include <cstdint>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

struct ModelWorkload {
  std::uint32_t requests = 60;
  common::Duration within = std::chrono::seconds(20);
  std::uint32_t longest_prompt = 6000;
  std::uint32_t longest_answer = 120;
};

/// Schedules all requests of a workload from now on.
void planRequests(simulation::SimulatedFleet& fleet, const ModelWorkload& workload);

/// Requires that a caller received its own answer, in order: whole if the request was done, else
/// its beginning.
void requireOwnAnswer(const simulation::CallerRecord& record);

/// Number of requests by result.
struct RequestTally {
  std::uint64_t done = 0;
  std::uint64_t errors = 0;
  std::uint64_t broken = 0;
  std::uint64_t not_connected = 0;
  std::uint64_t open = 0;

  void add(const simulation::SimulatedFleet& fleet);
  std::string summary() const;
};

}  // namespace cypresswall::testing
