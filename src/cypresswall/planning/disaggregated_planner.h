/// The planner for models whose engines have only the roles "prefill" and "decode", which change
/// within seconds. Moves engines to the role whose shortage makes more answers late.
///
/// Demand is expressed in engine time per role (DemandRate), and an answer is valued by the engine
/// time that it takes. docs/design/planning.md gives the formulas and the alternatives considered.
#pragma once

#include <vector>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct DisaggregatedPlannerSettings {
  CapacitySettings capacity;
  /// Time to drain an engine and change its role, used until measurements are available.
  common::Duration expected_change_time = std::chrono::seconds(2);
  /// Weight of the short window's demand; the rest is the weight of the long window.
  double short_window_weight = 0.6;
  /// Largest share of a model's engines that may change roles at once; at least one may.
  double maximum_changing_share = 0.25;
  /// Utilisation of decode engines above which prompts computed there begin to push the time
  /// between tokens beyond its limit.
  double decode_late_onset_utilisation = 0.6;
  /// Fraction of answers that is late for that reason at full utilisation.
  double late_share_at_full_decode = 0.7;
  /// If false, only `minimum_engines` is enforced for each role.
  bool enforces_minimum_share = true;
  /// Minimum share and number of engines that moves leave in each role. The traffic mix changes
  /// faster than engines that drain their streams can follow, and losing one engine must not leave
  /// a role without engines.
  double minimum_share = 0.3;
  std::uint32_t minimum_engines = 2;
};

class DisaggregatedPlanner final : public Planner {
 public:
  explicit DisaggregatedPlanner(const DisaggregatedPlannerSettings& settings)
      : settings_(settings), capacity_(settings.capacity) {}

  std::string name() const override { return "disaggregated"; }
  Plan plan(const PlanningInput& input) override;

 private:
  /// One model's engines that accept work, by role.
  struct Split {
    double prefill = 0;
    double decode = 0;

    /// \return the split after one engine has moved to the role `to`
    Split movedTo(engines::EngineRole to) const;
  };
  /// The work of one model, distributed over a split of its engines.
  struct WorkDistribution {
    double prefill_requests_per_second = 0;
    /// Engine seconds per second, totals over all engines of the role.
    double prefill_seconds = 0;
    double decode_prompt_seconds = 0;
    double output_seconds = 0;
    /// Value of the decode engines' answers, in engine seconds per second. Flexible prompts count
    /// with their prefill-engine time: taking longer on a decode engine adds no value.
    double decode_value = 0;
  };
  struct ModelState {
    common::ModelName model;
    ModelDemand demand;
    Split split;
    /// Output tokens per second of one engine.
    double decode_speed = 0;
    std::uint32_t engines = 0;
    std::uint32_t in_progress = 0;
    /// In seconds.
    double change_time = 0;
    double horizon = 0;
    double weight = 0;
    /// Engines whose role may be changed, the least busy first.
    std::vector<const PlannedEngine*> movable_prefill;
    std::vector<const PlannedEngine*> movable_decode;
  };

  ModelState stateOf(const common::ModelName& model, const PlanningInput& input) const;
  /// \return the number of engines that moves must leave in each role
  double minimumEnginesPerRole(const ModelState& state) const;
  void planModel(ModelState& state, Plan& plan) const;
  /// \return the move with the largest benefit; with an empty engine name if none is possible.
  PlanAlternative bestMove(const ModelState& state) const;
  /// \return the gain over the horizon from moving one engine, in engine seconds spent on answers
  ///   that are in time.
  double benefit(const ModelState& state, engines::EngineRole to) const;
  double benefit(const ModelState& state, const DemandRate& demand, const Split& during,
                 const Split& after) const;
  /// \return engine seconds per second spent on answers that are late or lost.
  double lostRate(const ModelState& state, const DemandRate& demand, const Split& split) const;
  double lateDecodeShare(double utilisation) const;
  /// Distributes prompts that either role may compute so that both roles are equally utilised.
  WorkDistribution distributeWork(const ModelState& state, const DemandRate& demand,
                                  const Split& split) const;
  static double decodeUtilisation(const WorkDistribution& work, const Split& split);
  static double prefillUtilisation(const WorkDistribution& work, const Split& split);

  DisaggregatedPlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
