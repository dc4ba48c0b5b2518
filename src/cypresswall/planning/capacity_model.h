/// How much of a demand a set of engines in given roles can serve in time.
#pragma once

#include <vector>

#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

/// Speeds of roles, as shares of the speed in the role "prefill".
struct CapacitySettings {
  double mixed_prefill_share = 0.8;
  double decode_prefill_share = 0.5;
  /// Above this utilisation queues begin to make answers late.
  double late_onset_utilisation = 0.75;
  /// Part of the answers that is late at full utilisation.
  double late_share_at_capacity = 0.15;
  /// Prompt tokens that an engine computes in one step beside the output of its streams.
  double prefill_chunk_tokens = 512;
  /// Part of the requests sent to an engine as if at random, since nodes learn of each other's
  /// work only from the engines' reports.
  double uninformed_share = 0.15;
};

/// Summed speeds of the engines of one model by role, in tokens a second.
struct RoleCapacity {
  double prefill_only = 0;
  double mixed_prefill = 0;
  double mixed_decode = 0;
  double decode_prefill = 0;
  double decode_decode = 0;
  /// Prompt speed of the mixed engines while they generate output in the same steps.
  double shared_prefill = 0;
  /// Engines in each role.
  double prefill_engines = 0;
  double mixed_engines = 0;
  double decode_engines = 0;
};

class CapacityModel {
 public:
  explicit CapacityModel(const CapacitySettings& settings) : settings_(settings) {}

  /// \return output tokens a second at the largest batch whose step meets the limit.
  static double decodeSpeed(const PlannedEngine& engine, common::Duration between_tokens_limit);
  /// Adds (or with sign -1 takes away) one engine in `role`.
  void add(RoleCapacity& capacity, const PlannedEngine& engine, engines::EngineRole role,
           double decode_speed, double sign = 1.0) const;
  /// \return the least part of the engines' time that serves the demand; above 1 it can't all be
  ///   served, infinite if a kind of work has no engine.
  double utilisation(const RoleCapacity& capacity, const DemandRate& demand) const;
  /// \return the part of the answers that is late or refused at a utilisation.
  double lostShare(double utilisation) const;
  /// \return answers a second whose first token is late because they wait for long prompts: long
  ///   ones for each other on prefill and mixed engines, short ones behind them on mixed engines.
  ///   Decode engines get no long prompts, so short ones don't wait there.
  double lostByQueueing(const RoleCapacity& capacity, const ModelDemand& limits,
                        const DemandRate& demand) const;
  /// \return the part of their time that long prompts would take if all engines were mixed. Does
  ///   not depend on the roles, so that a change of roles does not change what asks for it.
  static double longPromptUtilisation(const std::vector<const PlannedEngine*>& engines,
                                      const CapacitySettings& settings,
                                      double long_tokens_per_second);
  /// \return the part of requests that wait longer than `slack` seconds for one of `servers`
  ///   engines, each busy for `service` seconds with a prompt.
  double lateShare(double servers, double utilisation, double service, double slack) const;

 private:
  bool fits(const RoleCapacity& capacity, const DemandRate& demand, double time_share) const;

  CapacitySettings settings_;
};

}  // namespace cypresswall::planning
