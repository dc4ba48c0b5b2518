#include "bench/simulate/offline_planner.h"

#include <algorithm>
#include <iterator>

namespace cypresswall::bench {
namespace {

/// Time to drain one engine and change its role.
constexpr common::Duration kRoleChangeTime = std::chrono::seconds(6);

std::uint32_t changesBetween(const RoleCounts& from, const RoleCounts& to, std::uint32_t engines) {
  const auto gained = [](std::uint32_t before, std::uint32_t after) {
    return after > before ? after - before : 0U;
  };
  return gained(from.prefill, to.prefill) + gained(from.decode, to.decode) +
         gained(engines - from.prefill - from.decode, engines - to.prefill - to.decode);
}

KindOutcome sumOf(const std::map<std::string, KindOutcome>& kinds) {
  RunOutcome period;
  period.kinds = kinds;
  return period.total();
}

/// Cost, in answers, of changing from one assignment to another at the start of a period.
double transitionCost(const Scenario& scenario, const EvaluatedAssignment& from,
                      const EvaluatedAssignment& to, std::size_t period) {
  const ScenarioFleetSize& fleet = scenario.fleet;
  const double changes = fleet.zones * static_cast<double>(changesBetween(from.roles, to.roles,
                                                                          fleet.engines_per_zone));
  // While an engine changes its role, its share of the answers is lost.
  const double engines = static_cast<double>(fleet.zones) * fleet.engines_per_zone;
  const double asked = static_cast<double>(sumOf(to.run.timeline[period]).asked);
  const double lost = asked / engines * (kRoleChangeTime / common::Duration{1}) /
                      static_cast<double>(kTimelinePeriod / common::Duration{1});
  return changes * (scenario.planning.role_change_weight + lost);
}

}  // namespace

std::vector<EvaluatedAssignment> evaluateAssignments(const Scenario& scenario, std::uint64_t seed) {
  const std::uint32_t engines = scenario.fleet.engines_per_zone;
  std::vector<EvaluatedAssignment> traced;
  for (std::uint32_t prefill = 0; prefill <= engines * 2 / 3; ++prefill) {
    for (const std::uint32_t decode : {0U, engines - prefill}) {
      if (prefill == 0 && decode > 0) {
        continue;
      }
      const RolePolicy policy{"traced", PlannerKind::kFixed, prefill, decode};
      traced.push_back({{prefill, decode}, runScenario(scenario, policy, seed)});
    }
  }
  return traced;
}

std::vector<ScheduleEntry> bestSchedule(const Scenario& scenario,
                                        const std::vector<EvaluatedAssignment>& traced) {
  const std::size_t periods = traced.front().run.timeline.size();
  // Dynamic programming: the best value that ends in each assignment, and by period the assignment
  // before it.
  std::vector<double> value(traced.size(), 0);
  std::vector<std::vector<std::size_t>> before(periods);
  for (std::size_t period = 0; period < periods; ++period) {
    std::vector<double> next(traced.size(), 0);
    before[period].resize(traced.size());
    for (std::size_t to = 0; to < traced.size(); ++to) {
      for (std::size_t from = 0; from < traced.size(); ++from) {
        if (period == 0 && from != 0) {
          continue;
        }
        const double reached =
            value[from] - transitionCost(scenario, traced[from], traced[to], period);
        if (from == 0 || reached > next[to]) {
          next[to] = reached;
          before[period][to] = from;
        }
      }
      next[to] += static_cast<double>(sumOf(traced[to].run.timeline[period]).in_time);
    }
    value = std::move(next);
  }
  auto at = static_cast<std::size_t>(
      std::distance(value.begin(), std::max_element(value.begin(), value.end())));
  std::vector<ScheduleEntry> schedule;
  for (std::size_t period = periods; period-- > 0;) {
    const std::size_t from = before[period][at];
    if (from != at) {
      const auto start = static_cast<std::int64_t>(period) * kTimelinePeriod;
      // Changes start early enough to be complete when the period begins.
      const auto lead = kRoleChangeTime * changesBetween(traced[from].roles, traced[at].roles,
                                                         scenario.fleet.engines_per_zone);
      schedule.push_back({std::max(common::Duration{0}, start - lead), traced[at].roles});
    }
    at = from;
  }
  std::reverse(schedule.begin(), schedule.end());
  return schedule;
}

}  // namespace cypresswall::bench
