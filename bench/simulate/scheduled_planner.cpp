#include "bench/simulate/scheduled_planner.h"

#include <map>

namespace cypresswall::bench {
namespace {

using engines::EngineRole;

/// \return the number of engines by which `wanted` exceeds those that have the role now.
std::int64_t missing(const std::map<EngineRole, std::int64_t>& wanted,
                     const std::map<EngineRole, std::int64_t>& present, EngineRole role) {
  const auto found = present.find(role);
  return wanted.at(role) - (found == present.end() ? 0 : found->second);
}

}  // namespace

const ScheduleEntry* ScheduledPlanner::current() const {
  const ScheduleEntry* entry = nullptr;
  for (const ScheduleEntry& candidate : schedule_) {
    if (clock_.now() - start_ >= candidate.at) {
      entry = &candidate;
    }
  }
  return entry;
}

planning::Plan ScheduledPlanner::plan(const planning::PlanningInput& input) {
  planning::Plan plan;
  const ScheduleEntry* entry = current();
  if (entry == nullptr || start_ == common::MonotonicTime{} || !input.changes_in_progress.empty()) {
    return plan;
  }
  std::map<EngineRole, std::int64_t> present;
  for (const planning::PlannedEngine& engine : input.engines) {
    ++present[engine.role];
  }
  const auto engines = static_cast<std::int64_t>(input.engines.size());
  const std::map<EngineRole, std::int64_t> wanted = {
      {EngineRole::kPrefill, entry->roles.prefill},
      {EngineRole::kDecode, entry->roles.decode},
      {EngineRole::kMixed, engines - entry->roles.prefill - entry->roles.decode}};
  for (const EngineRole to : {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    if (missing(wanted, present, to) <= 0) {
      continue;
    }
    for (const planning::PlannedEngine& engine : input.engines) {
      if (engine.changeable && missing(wanted, present, engine.role) < 0) {
        plan.changes.push_back({engine.name, to});
        return plan;
      }
    }
  }
  return plan;
}

}  // namespace cypresswall::bench
