/// The cost-based planner. Estimates for each possible role change how many more answers would be
/// in time within the policy's horizon, less those lost while the engine is unavailable. Makes the
/// best change if this gain exceeds PlanningPolicy::role_change_weight.
#pragma once

#include <array>
#include <map>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct RolePlannerSettings {
  CapacitySettings capacity;
  /// Time to drain an engine and change its role, used until measurements are available.
  common::Duration expected_change_time = std::chrono::seconds(16);
  /// Answers that are late because their prompt queues behind long prompts are counted as lost only
  /// above this utilisation. It is the utilisation that long prompts would cause if all engines
  /// were mixed.
  double long_prompt_utilisation_threshold = 0.34;
  /// Margin by which the estimated utilisation must exceed this threshold, in standard deviations
  /// of the estimate. The lower the rate of long prompts, the more the estimate varies under a
  /// steady demand.
  double confidence_deviations = 4.0;
  /// Maximum number of successive role changes that a forecast considers, including the next one.
  int maximum_steps = 3;
  /// Weight of the short window's demand, 0 to 1; the long window has the remaining weight.
  double short_window_weight = 0.6;
  /// Largest share of a model's engines that may change roles at the same time. One engine may
  /// always change, even if that exceeds the share.
  double maximum_changing_share = 0.1;
  /// Maximum number of alternatives listed in an explanation.
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
    /// Number of role changes in progress.
    std::uint32_t in_progress = 0;
    /// Time to drain an engine and change its role, in seconds.
    double change_time = 0;
    /// For each role, in the order of kRoles: the least busy engine that may be changed, which is
    /// the first to change; null if no engine of the role may be changed.
    std::array<const PlannedEngine*, 3> least_busy{};
    /// Whether answers that are late because their prompt queues behind long prompts count as lost.
    bool queueing_matters = false;
  };
  /// Forecast for one model and one demand. Caches the answers lost per second by the number of
  /// engines in each role. Sequences of changes that lead to the same numbers share an entry, which
  /// assumes that all engines of a model have the same speed.
  struct Forecast {
    const ModelState& state;
    const DemandRate& demand;
    /// Cost of each change after the first, in answers: PlanningPolicy::role_change_weight.
    double weight = 0;
    /// Answers lost per second, by the numbers of prefill, mixed and decode engines.
    std::map<std::array<double, 3>, double> rates = {};
  };
  /// State after some of the successive role changes that a forecast considers.
  struct Path {
    RoleCapacity capacity;
    /// Number of engines in each role that may still be changed, in the order of kRoles.
    std::array<std::size_t, 3> movable{};
    /// Seconds remaining of the horizon.
    double remaining = 0;
    /// Number of further changes that may be considered.
    int steps = 0;
  };

  std::vector<ModelState> groupByModel(const PlanningInput& input) const;
  void planModel(const ModelState& state, const configuration::PlanningPolicy& policy, Plan& plan);
  std::vector<PlanAlternative> evaluateAlternatives(
      const ModelState& state, const configuration::PlanningPolicy& policy) const;
  /// \return answers that are late or refused ("lost") per second.
  double lostRate(const ModelState& state, const RoleCapacity& capacity,
                  const DemandRate& demand) const;
  /// \return the answers lost per second, from the forecast's cache if present there.
  double lostRate(Forecast& forecast, const RoleCapacity& capacity) const;
  /// \return the smallest sum of the answers lost in the remaining time and the weight of further
  ///   changes, over all sequences of changes that are considered.
  double lostOnPath(Forecast& forecast, const Path& path) const;
  /// \return the value of lostOnPath() if the next change is that of `engine` to the role `to`; the
  ///   weight of this change is not included.
  double lostByMove(Forecast& forecast, Path path, const PlannedEngine& engine,
                    engines::EngineRole to) const;
  bool queueingMatters(const ModelState& state) const;
  Path initialPath(const ModelState& state, double horizon) const;
  /// \return answers gained within the horizon by changing `engine` to the role `to`, combined from
  ///   the forecasts for the short window (`recent`) and the long window (`past`).
  double benefit(Forecast& recent, Forecast& past, const PlannedEngine& engine,
                 engines::EngineRole to, double horizon) const;
  const PlannedEngine* leastBusyEngine(const ModelState& state, engines::EngineRole role) const;
  std::uint32_t maximumChanging(const ModelState& state) const;

  RolePlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
