/// Offline upper bound: the best schedule of roles for a trace that is known in advance.
#pragma once

#include <cstdint>
#include <vector>

#include "bench/simulate/scenario_run.h"
#include "bench/simulate/scheduled_planner.h"

namespace cypresswall::bench {

/// One assignment of roles in a zone, with the outcome of the whole trace under it.
struct EvaluatedAssignment {
  RoleCounts roles;
  /// Outcome of the whole trace with these roles fixed.
  RunOutcome run;
};

/// Runs the trace of one seed under each plausible assignment: up to two thirds of a zone's engines
/// in the role "prefill", the others all mixed or all in "decode". \throws FleetStartError
std::vector<EvaluatedAssignment> evaluateAssignments(const Scenario& scenario, std::uint64_t seed);

/// \param traced not empty; the first is all mixed; all runs have the same length
/// \return the schedule of roles that maximises answers in time, less the policy's weight of each
///   role change and the answers lost while engines change. All engines start mixed, and the first
///   change is made when the load starts, before answers are counted.
std::vector<ScheduleEntry> bestSchedule(const Scenario& scenario,
                                        const std::vector<EvaluatedAssignment>& traced);

}  // namespace cypresswall::bench
