/// The planner for models whose engines have only the roles "prefill" and "decode", which change
/// within seconds: moves engines to the role whose work would make more answers late.
///
/// The demand is taken as time of engines in each role (DemandRate), an answer as worth the time
/// that it takes. docs/design/planning.md gives the formulas and the ways weighed.
#pragma once

#include <vector>

#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct DisaggregatedPlannerSettings {
  CapacitySettings capacity;
  /// Drain and change together, until some were measured.
  common::Duration expected_time_away = std::chrono::seconds(2);
  /// Weight of the short window's demand against the long one's.
  double short_window_weight = 0.6;
  /// Engines of one model that may be away at once: this share, at least one.
  double maximum_away_share = 0.25;
  /// Above this utilisation prompts computed between the output of decode engines begin to stretch
  /// the time between tokens beyond its limit.
  double decode_late_onset_utilisation = 0.6;
  /// Share of the answers that are late for that at full utilisation.
  double late_share_at_full_decode = 0.7;
  /// Off: each role keeps `minimum_engines` only.
  bool enforces_minimum_share = true;
  /// Share of the engines that each role keeps, if it has them, and their least number: mixes swing
  /// faster than engines that finish their streams can follow, and the loss of one engine must not
  /// take a role away.
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
  /// Engines of one model that take work, by role.
  struct Split {
    double prefill = 0;
    double decode = 0;

    /// \return the split once one engine more has the role `to`, and one less the other
    Split movedTo(engines::EngineRole to) const;
  };
  /// The work of one model as a split of its engines would share it.
  struct WorkDistribution {
    double prefill_requests_per_second = 0;
    /// Seconds a second, all together.
    double prefill_seconds = 0;
    double decode_prompt_seconds = 0;
    double output_seconds = 0;
    /// What the answers of the decode engines are worth, in seconds a second: a prompt is not worth
    /// more for being computed where that takes longer.
    double decode_value = 0;
  };
  struct ModelState {
    common::ModelName model;
    ModelDemand demand;
    Split split;
    /// Output tokens a second of one engine.
    double decode_speed = 0;
    std::uint32_t engines = 0;
    std::uint32_t under_way = 0;
    /// Seconds.
    double time_away = 0;
    double horizon = 0;
    double weight = 0;
    /// Engines that may be changed, the least busy first.
    std::vector<const PlannedEngine*> movable_prefill;
    std::vector<const PlannedEngine*> movable_decode;
  };

  ModelState stateOf(const common::ModelName& model, const PlanningInput& input) const;
  /// \return engines that each role keeps, if it has them
  double minimumEnginesPerRole(const ModelState& state) const;
  void planModel(ModelState& state, Plan& plan) const;
  /// \return the most useful move, with its benefit; an empty engine name if none is possible.
  PlanAlternative bestMove(const ModelState& state) const;
  /// \return engine seconds, spent on answers that come in time, gained over the horizon by moving
  ///   one engine.
  double benefit(const ModelState& state, engines::EngineRole to) const;
  double benefit(const ModelState& state, const DemandRate& demand, const Split& away,
                 const Split& after) const;
  /// \return engine seconds a second that are spent on answers that come late or never.
  double lostRate(const ModelState& state, const DemandRate& demand, const Split& split) const;
  double lateDecodeShare(double utilisation) const;
  /// Prompts that may be computed in either role go where that makes both roles equally busy.
  WorkDistribution distributeWork(const ModelState& state, const DemandRate& demand,
                                  const Split& split) const;
  static double decodeUtilisation(const WorkDistribution& work, const Split& split);
  static double prefillUtilisation(const WorkDistribution& work, const Split& split);

  DisaggregatedPlannerSettings settings_;
  CapacityModel capacity_;
};

}  // namespace cypresswall::planning
