/// The cost-based planner: changes a role when the answers that would be lost without the change,
/// over the policy's horizon, exceed those lost while the engine is away by more than the policy's
/// weight of a role change.
#pragma once

#include <array>
#include <map>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct RolePlannerSettings {
  CapacitySettings capacity;
  /// Drain and change together.
  common::Duration expected_time_away = std::chrono::seconds(16);
  /// Part of the engines' time, were all of them mixed, that long prompts have to take beyond doubt
  /// before what waits for them asks for a change of roles.
  double long_prompt_utilisation_threshold = 0.34;
  /// Standard deviations of the estimated strain that count as doubt. The fewer prompts a second,
  /// the more an estimate over seconds varies under a steady demand.
  double confidence_deviations = 4.0;
  /// Changes that are looked ahead, the next one included.
  int maximum_steps = 3;
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
    /// The engine of each role that is changed first, in the order of the planner's roles; null if
    /// none may be changed.
    std::array<const PlannedEngine*, 3> least_busy{};
    /// Long prompts strain the engines, so waiting for them counts.
    bool queueing_matters = false;
  };
  /// One demand on one model, with the answers lost a second by the engines in each role. Ways that
  /// end in equal numbers share one entry, which takes a model's engines as alike.
  struct Forecast {
    const ModelState& state;
    const DemandRate& demand;
    /// Of each change after the first, in answers.
    double weight = 0;
    std::map<std::array<double, 3>, double> rates = {};
  };
  /// A way of changing roles: what is lost on it over the horizon.
  struct Path {
    RoleCapacity capacity;
    /// Engines in each role, in the order of kRoles, that may still be moved.
    std::array<std::size_t, 3> movable{};
    /// Seconds left of the horizon.
    double remaining = 0;
    int steps = 0;
  };

  std::vector<ModelState> groupByModel(const PlanningInput& input) const;
  void planModel(const ModelState& state, const configuration::PlanningPolicy& policy, Plan& plan);
  std::vector<PlanAlternative> evaluateAlternatives(
      const ModelState& state, const configuration::PlanningPolicy& policy) const;
  /// \return answers lost a second.
  double lostRate(const ModelState& state, const RoleCapacity& capacity,
                  const DemandRate& demand) const;
  /// \return the same, remembered.
  double lostRate(Forecast& forecast, const RoleCapacity& capacity) const;
  /// \return answers lost until the path's horizon, with the best further changes and their weight.
  double lostOnPath(Forecast& forecast, const Path& path) const;
  /// \return the same if `engine` goes to `to` next, without the weight of that change.
  double lostByMove(Forecast& forecast, Path path, const PlannedEngine& engine,
                    engines::EngineRole to) const;
  bool queueingMatters(const ModelState& state) const;
  Path initialPath(const ModelState& state, double horizon) const;
  /// \return answers gained over the horizon, by the short and the long window's forecasts.
  double benefit(Forecast& recent, Forecast& past, const PlannedEngine& engine,
                 engines::EngineRole to, double horizon) const;
  const PlannedEngine* leastBusyEngine(const ModelState& state, engines::EngineRole role) const;
  std::uint32_t maximumAway(const ModelState& state) const;

  RolePlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
