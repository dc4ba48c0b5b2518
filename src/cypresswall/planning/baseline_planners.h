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

/// Changes every engine to the role "mixed".
class AllMixedPlanner final : public Planner {
 public:
  std::string name() const override { return "all-mixed"; }
  Plan plan(const PlanningInput& input) override;
};

/// Assigns the role "prefill" to a fixed share of each model's engines, in name order, and "decode"
/// to the others.
class StaticSplitPlanner final : public Planner {
 public:
  explicit StaticSplitPlanner(double prefill_share) : prefill_share_(prefill_share) {}
  std::string name() const override { return "static-split"; }
  Plan plan(const PlanningInput& input) override;

 private:
  double prefill_share_;
};

/// The usual threshold rule: when the engines for one kind of work are utilised above a threshold
/// and those for the other kind are not, moves one engine over. At most one change per model is in
/// progress at a time.
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
