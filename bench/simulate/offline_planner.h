/// The offline bound: the best schedule of roles for a trace that is known beforehand.
#pragma once

#include <cstdint>
#include <vector>

#include "bench/simulate/scenario_run.h"
#include "bench/simulate/scheduled_planner.h"

namespace cypresswall::bench {

/// One way of assigning a zone's roles, with what it served of the trace.
struct EvaluatedAssignment {
  RoleCounts roles;
  /// The whole trace under these roles alone.
  RunOutcome run;
};

/// Runs the trace of one seed under each assignment that is worth a try: up to two thirds of a
/// zone's engines in the role "prefill", the others all mixed or all in "decode". \throws
/// FleetStartError
std::vector<EvaluatedAssignment> evaluateAssignments(const Scenario& scenario, std::uint64_t seed);

/// \param traced not empty, the first one all mixed; its runs are of equal length
/// \return the roles to have from when on, so that answers in time, less the policy's weight of
///   each change and what is lost while engines are away, are the most. All engines begin mixed,
///   and the first change comes with the load, before answers count.
std::vector<ScheduleEntry> bestSchedule(const Scenario& scenario,
                                        const std::vector<EvaluatedAssignment>& traced);

}  // namespace cypresswall::bench
