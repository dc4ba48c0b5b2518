/// The planner for models whose engines have only the roles "prefill" and "decode" and change their
/// role within seconds. Moves engines to the role whose shortage makes more answers late.
///
/// Demand is expressed in engine time per role (DemandRate), and the value of an answer is the
/// engine time that it takes. docs/design/planning.md gives the formulas and the alternatives
/// considered.
#pragma once

#include <vector>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct DisaggregatedPlannerSettings {
  CapacitySettings capacity;
  /// Time to drain an engine and change its role, used until measurements are available.
  common::Duration expected_change_time = std::chrono::seconds(2);
  /// Weight of the short window's demand, 0 to 1; the long window has the remaining weight.
  double short_window_weight = 0.6;
  /// Largest share of a model's engines that may change roles at the same time. One engine may
  /// always change, even if that exceeds the share.
  double maximum_changing_share = 0.25;
  /// Utilisation of decode engines above which prompts computed there begin to push the time
  /// between tokens beyond its limit.
  double decode_late_onset_utilisation = 0.6;
  /// Fraction of answers whose time between tokens exceeds its limit because of such prompts when
  /// the utilisation of the decode engines is 1.
  double late_share_at_full_decode = 0.7;
  /// If false, `minimum_share` is ignored, and only `minimum_engines` is enforced for each role.
  bool enforces_minimum_share = true;
  /// Minimum share of a model's engines that the planner leaves in each role. The traffic mix can
  /// change faster than engines can drain their streams and change roles.
  double minimum_share = 0.3;
  /// Minimum number of a model's engines that the planner leaves in each role, so that the loss of
  /// one engine does not leave a role without engines.
  std::uint32_t minimum_engines = 2;
};

class DisaggregatedPlanner final : public Planner {
 public:
  explicit DisaggregatedPlanner(const DisaggregatedPlannerSettings& settings)
      : settings_(settings), capacity_(settings.capacity) {}

  std::string name() const override { return "disaggregated"; }
  Plan plan(const PlanningInput& input) override;

 private:
  /// Number of one model's available engines, by role.
  struct Split {
    double prefill = 0;
    double decode = 0;

    /// \return the split after one engine has moved to the role `to`
    Split movedTo(engines::EngineRole to) const;
  };
  /// The work of one model, distributed over its prefill and decode engines. Work is given in
  /// engine seconds per second: the mean number of engines that it keeps busy.
  struct WorkDistribution {
    double prefill_requests_per_second = 0;
    /// Work of the prefill engines.
    double prefill_seconds = 0;
    /// Work of the decode engines on prompts.
    double decode_prompt_seconds = 0;
    double output_seconds = 0;
    /// Value of the work of the decode engines. A flexible prompt counts with the time that it
    /// would take on a prefill engine: the longer time on a decode engine adds no value.
    double decode_value = 0;
  };
  struct ModelState {
    common::ModelName model;
    ModelDemand demand;
    Split split;
    /// Output tokens per second of one engine.
    double decode_speed = 0;
    std::uint32_t engines = 0;
    /// Number of role changes in progress.
    std::uint32_t in_progress = 0;
    /// Time to drain an engine and change its role, in seconds.
    double change_time = 0;
    /// PlanningPolicy::horizon, in seconds.
    double horizon = 0;
    /// PlanningPolicy::role_change_weight; compared with benefits in engine seconds.
    double weight = 0;
    /// Engines whose role may be changed, the least busy first.
    std::vector<const PlannedEngine*> movable_prefill;
    std::vector<const PlannedEngine*> movable_decode;
  };

  ModelState stateOf(const common::ModelName& model, const PlanningInput& input) const;
  /// \return the minimum number of engines that the planner leaves in each role
  double minimumEnginesPerRole(const ModelState& state) const;
  void planModel(ModelState& state, Plan& plan) const;
  /// \return the move with the largest benefit; its engine name is empty if no move is possible.
  PlanAlternative bestMove(const ModelState& state) const;
  /// \return the gain from moving one engine to the role `to`: the additional engine seconds spent
  ///   within the horizon on answers that are in time.
  double benefit(const ModelState& state, engines::EngineRole to) const;
  double benefit(const ModelState& state, const DemandRate& demand, const Split& during,
                 const Split& after) const;
  /// \return engine seconds per second spent on answers that are late, or needed for answers that
  ///   are refused.
  double lostRate(const ModelState& state, const DemandRate& demand, const Split& split) const;
  double lateDecodeShare(double utilisation) const;
  /// Distributes flexible prompts (those that an engine of either role may compute) so that both
  /// roles are equally utilised, as far as the other work permits.
  WorkDistribution distributeWork(const ModelState& state, const DemandRate& demand,
                                  const Split& split) const;
  static double decodeUtilisation(const WorkDistribution& work, const Split& split);
  static double prefillUtilisation(const WorkDistribution& work, const Split& split);

  DisaggregatedPlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
