/// Estimates how much of a demand a set of engines with given roles can serve in time.
#pragma once

#include <vector>

#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct CapacitySettings {
  /// Prompt speed in the roles "mixed" and "decode", relative to that in the role "prefill".
  double mixed_prefill_share = 0.8;
  double decode_prefill_share = 0.5;
  /// Utilisation above which queueing begins to make answers late.
  double late_onset_utilisation = 0.75;
  /// Fraction of answers that is late at full utilisation.
  double late_share_at_capacity = 0.15;
  /// Prompt tokens that an engine computes per step alongside the output of its streams.
  double prefill_chunk_tokens = 512;
  /// Fraction of requests that are routed as if at random, because nodes learn of each other's work
  /// only from the engines' load reports.
  double uninformed_share = 0.15;
};

/// Total speeds of one model's engines by role, in tokens per second.
struct RoleCapacity {
  double prefill_only = 0;
  double mixed_prefill = 0;
  double mixed_decode = 0;
  double decode_prefill = 0;
  double decode_decode = 0;
  /// Prompt speed of the mixed engines while the same steps also generate output.
  double shared_prefill = 0;
  /// Number of engines in each role.
  double prefill_engines = 0;
  double mixed_engines = 0;
  double decode_engines = 0;
};

class CapacityModel {
 public:
  explicit CapacityModel(const CapacitySettings& settings) : settings_(settings) {}

  /// \return output tokens per second at the largest batch whose step time meets the limit.
  static double decodeSpeed(const PlannedEngine& engine, common::Duration between_tokens_limit);
  /// Adds one engine in `role`, or removes it if `sign` is -1.
  void add(RoleCapacity& capacity, const PlannedEngine& engine, engines::EngineRole role,
           double decode_speed, double sign = 1.0) const;
  /// \return the smallest share of the engines' time that serves the demand: above 1 if it can't be
  ///   served in full, infinite if a kind of work has no engine.
  double utilisation(const RoleCapacity& capacity, const DemandRate& demand) const;
  /// \return the fraction of answers that is late or refused at a given utilisation.
  double lostShare(double utilisation) const;
  /// \return answers per second whose first token is late because of queueing behind long prompts:
  ///   long prompts on prefill and mixed engines, short ones on mixed engines. Decode engines get
  ///   no long prompts, so short ones don't wait there.
  double lostByQueueing(const RoleCapacity& capacity, const ModelDemand& limits,
                        const DemandRate& demand) const;
  /// \return the utilisation by long prompts if all engines were mixed. It does not depend on the
  ///   current roles, so that a role change does not alter the condition that triggered it.
  static double longPromptUtilisation(const std::vector<const PlannedEngine*>& engines,
                                      const CapacitySettings& settings,
                                      double long_tokens_per_second);
  /// \return the fraction of requests that wait more than `slack` seconds for one of `servers`
  ///   engines with a service time of `service` seconds per prompt.
  double lateShare(double servers, double utilisation, double service, double slack) const;

 private:
  bool fits(const RoleCapacity& capacity, const DemandRate& demand, double time_share) const;

  CapacitySettings settings_;
};

}  // namespace cypresswall::planning
