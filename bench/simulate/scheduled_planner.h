/// Planner of the offline bound: roles follow a schedule computed from a trace known in advance.
#pragma once

#include <vector>

#include "cypresswall/planning/planner.h"

namespace cypresswall::bench {

/// Number of engines per role in a zone; the others are mixed.
struct RoleCounts {
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
};

/// Roles wanted from a time on.
struct ScheduleEntry {
  /// Time since the start of the load.
  common::Duration at{0};
  RoleCounts roles;
};

/// Changes each model's engines, one at a time, to the roles that the schedule wants now.
class ScheduledPlanner final : public planning::Planner {
 public:
  /// \param schedule ordered by time; \param start when the load starts; both outlive the planner
  ScheduledPlanner(const std::vector<ScheduleEntry>& schedule, const common::MonotonicTime& start,
                   const common::Clock& clock)
      : schedule_(schedule), start_(start), clock_(clock) {}

  std::string name() const override { return "offline"; }
  planning::Plan plan(const planning::PlanningInput& input) override;

 private:
  const ScheduleEntry* current() const;

  const std::vector<ScheduleEntry>& schedule_;
  const common::MonotonicTime& start_;
  const common::Clock& clock_;
};

}  // namespace cypresswall::bench
