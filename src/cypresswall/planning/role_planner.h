/// The cost-based planner. Changes a role when, over the policy's horizon, the change saves more
/// answers than are lost while the engine is unavailable, by more than the policy's weight of a
/// role change.
#pragma once

#include <array>
#include <map>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct RolePlannerSettings {
  CapacitySettings capacity;
  /// Time to drain an engine and change its role.
  common::Duration expected_change_time = std::chrono::seconds(16);
  /// Utilisation by long prompts, if all engines were mixed, above which answers delayed by
  /// queueing behind them count in the cost of the current roles.
  double long_prompt_utilisation_threshold = 0.34;
  /// Confidence margin of that utilisation, in standard deviations of its estimate. The lower the
  /// rate of long prompts, the more the estimate varies under a steady demand.
  double confidence_deviations = 4.0;
  /// Look-ahead depth in role changes, including the next one.
  int maximum_steps = 3;
  /// Weight of the short window's demand; the rest is the weight of the long window.
  double short_window_weight = 0.6;
  /// Largest share of a model's engines that may change roles at once; at least one may.
  double maximum_changing_share = 0.1;
  /// Maximum number of alternatives in an explanation.
  std::size_t explained_alternatives = 4;
};

class RolePlanner final : public Planner {
 public:
  explicit RolePlanner(const RolePlannerSettings& settings)
      : settings_(settings), capacity_(settings.capacity) {}

  std::string name() const override { return "cost"; }
  Plan plan(const PlanningInput& input) override;

 private:
  /// One model's engines and their capacity with the current roles.
  struct ModelState {
    common::ModelName model;
    ModelDemand demand;
    std::vector<const PlannedEngine*> engines;
    RoleCapacity capacity;
    std::uint32_t in_progress = 0;
    /// In seconds.
    double change_time = 0;
    /// The least busy engine of each role, in the order of kRoles, which would be changed first;
    /// null if none may be changed.
    std::array<const PlannedEngine*, 3> least_busy{};
    /// Whether answers delayed by queueing behind long prompts count.
    bool queueing_matters = false;
  };
  /// Forecast for one demand on one model: a cache of the answers lost per second, by the number of
  /// engines in each role. Paths to the same numbers share an entry, which assumes that a model's
  /// engines are alike.
  struct Forecast {
    const ModelState& state;
    const DemandRate& demand;
    /// Cost of each change after the first, in answers.
    double weight = 0;
    std::map<std::array<double, 3>, double> rates = {};
  };
  /// State on a path of successive role changes within the horizon.
  struct Path {
    RoleCapacity capacity;
    /// Engines in each role that may still be moved, in the order of kRoles.
    std::array<std::size_t, 3> movable{};
    /// Seconds remaining of the horizon.
    double remaining = 0;
    int steps = 0;
  };

  std::vector<ModelState> groupByModel(const PlanningInput& input) const;
  void planModel(const ModelState& state, const configuration::PlanningPolicy& policy, Plan& plan);
  std::vector<PlanAlternative> evaluateAlternatives(
      const ModelState& state, const configuration::PlanningPolicy& policy) const;
  /// \return answers lost per second.
  double lostRate(const ModelState& state, const RoleCapacity& capacity,
                  const DemandRate& demand) const;
  /// \return the same, cached in the forecast.
  double lostRate(Forecast& forecast, const RoleCapacity& capacity) const;
  /// \return answers lost until the horizon with the best further changes, including their weight.
  double lostOnPath(Forecast& forecast, const Path& path) const;
  /// \return the same if `engine` changes to `to` next, excluding the weight of that change.
  double lostByMove(Forecast& forecast, Path path, const PlannedEngine& engine,
                    engines::EngineRole to) const;
  bool queueingMatters(const ModelState& state) const;
  Path initialPath(const ModelState& state, double horizon) const;
  /// \return answers gained over the horizon, combining the short and the long window's forecasts.
  double benefit(Forecast& recent, Forecast& past, const PlannedEngine& engine,
                 engines::EngineRole to, double horizon) const;
  const PlannedEngine* leastBusyEngine(const ModelState& state, engines::EngineRole role) const;
  std::uint32_t maximumChanging(const ModelState& state) const;

  RolePlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
