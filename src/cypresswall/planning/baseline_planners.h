/// Planners that the cost-based one is measured against.
#pragma once

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

/// Never changes a role.
class FixedRolesPlanner final : public Planner {
 public:
  std::string name() const override { return "fixed"; }
  Plan plan(const PlanningInput&) override { return {}; }
};

/// Brings every engine to the role "mixed" and leaves it there.
class AllMixedPlanner final : public Planner {
 public:
  std::string name() const override { return "all-mixed"; }
  Plan plan(const PlanningInput& input) override;
};

/// Keeps a fixed share of each model's engines, in the order of their names, in the role "prefill"
/// and the others in "decode".
class StaticSplitPlanner final : public Planner {
 public:
  explicit StaticSplitPlanner(double prefill_share) : prefill_share_(prefill_share) {}
  std::string name() const override { return "static-split"; }
  Plan plan(const PlanningInput& input) override;

 private:
  double prefill_share_;
};

/// The usual rule of thumb: when one kind of work fills its engines beyond a threshold and the
/// other does not, moves an engine over, at most one a model in each period of rounds.
class ThresholdPlanner final : public Planner {
 public:
  ThresholdPlanner(const CapacitySettings& settings, double threshold)
      : capacity_(settings), threshold_(threshold) {}
  std::string name() const override { return "threshold"; }
  Plan plan(const PlanningInput& input) override;

 private:
  CapacityModel capacity_;
  double threshold_;
};

}  // namespace cypresswall::planning
