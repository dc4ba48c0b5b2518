/// Simple planners that serve as baselines for the cost-based one.
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

/// Changes every engine to the role "mixed", one engine of each model at a time.
class AllMixedPlanner final : public Planner {
 public:
  std::string name() const override { return "all-mixed"; }
  Plan plan(const PlanningInput& input) override;
};

/// Assigns the role "prefill" to a fixed share of each model's engines, the first in order of name,
/// and the role "decode" to the others. Changes one engine of each model at a time.
class StaticSplitPlanner final : public Planner {
 public:
  explicit StaticSplitPlanner(double prefill_share) : prefill_share_(prefill_share) {}
  std::string name() const override { return "static-split"; }
  Plan plan(const PlanningInput& input) override;

 private:
  double prefill_share_;
};

/// Threshold rule: when the utilisation by one kind of work (prompts or output) is above the
/// threshold and the utilisation by the other kind is below it, changes one engine to the role for
/// the busier kind. Prefers a mixed engine, else takes one from the other role. At most one change
/// per model is in progress at a time.
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
