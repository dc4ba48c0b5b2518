/// The cost-based planner: changes a role when the answers that would be lost without the change,
/// over the policy's horizon, exceed those lost while the engine is away by more than the policy's
/// weight of a role change.
#pragma once

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct RolePlannerSettings {
  CapacitySettings capacity;
  /// Drain and change together.
  common::Duration expected_time_away = std::chrono::seconds(8);
  /// Weight of the short window's demand against the long one's.
  double short_window_weight = 0.6;
  /// Engines of one model that may be away at once: this share, at least one.
  double maximum_away_share = 0.1;
  /// Alternatives kept for explanations.
  std::size_t explained_alternatives = 4;
};

class RolePlanner final : public Planner {
 public:
  explicit RolePlanner(const RolePlannerSettings& settings)
      : settings_(settings), capacity_(settings.capacity) {}

  std::string name() const override { return "cost"; }
  Plan plan(const PlanningInput& input) override;

 private:
  /// One model's engines and what they can do as they are.
  struct ModelState {
    common::ModelName model;
    ModelDemand demand;
    std::vector<const PlannedEngine*> engines;
    RoleCapacity capacity;
    std::uint32_t under_way = 0;
    /// Seconds.
    double time_away = 0;
  };

  std::vector<ModelState> groupByModel(const PlanningInput& input) const;
  void planModel(const ModelState& state, const configuration::PlanningPolicy& policy, Plan& plan);
  std::vector<PlanAlternative> weigh(const ModelState& state,
                                     const configuration::PlanningPolicy& policy) const;
  /// \return answers lost over the horizon if `engine` goes to `to`, or as things are for null.
  double lostAnswers(const ModelState& state, const DemandRate& demand, const PlannedEngine* engine,
                     engines::EngineRole to, double horizon) const;
  double benefit(const ModelState& state, const PlannedEngine& engine, engines::EngineRole to,
                 double horizon) const;
  const PlannedEngine* cheapestToMove(const ModelState& state, engines::EngineRole role) const;
  std::uint32_t maximumAway(const ModelState& state) const;

  RolePlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
