/// Estimates which part of a demand a set of engines with given roles can serve within the latency
/// limits.
#pragma once

#include <vector>

#include "cypresswall/planning/planner.h"

namespace cypresswall::planning {

struct CapacitySettings {
  /// Prompt speed of an engine in the role "mixed", as a share of its speed in the role "prefill".
  double mixed_prefill_share = 0.8;
  /// Prompt speed of an engine in the role "decode", as a share of its speed in the role "prefill".
  double decode_prefill_share = 0.5;
  /// Utilisation above which queueing begins to make answers late.
  double late_onset_utilisation = 0.75;
  /// Fraction of answers that are late at a utilisation of 1.
  double late_share_at_capacity = 0.15;
  /// Number of prompt tokens that an engine computes in one step together with the output of its
  /// streams.
  double prefill_chunk_tokens = 512;
  /// Fraction of requests that are modelled as routed at random: nodes learn of each other's work
  /// only from load reports, so some choices ignore recently sent work.
  double uninformed_share = 0.15;
};

/// Total speeds of one model's engines by role and kind of work, in tokens per second:
/// `mixed_prefill`, for example, is the prompt speed of the mixed engines.
struct RoleCapacity {
  double prefill_only = 0;
  double mixed_prefill = 0;
  double mixed_decode = 0;
  double decode_prefill = 0;
  double decode_decode = 0;
  /// Prompt speed of the mixed engines while each of their steps also generates output.
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
  /// \return the smallest share of the engines' time in which they can serve the demand. Above 1 if
  ///   they can't serve all of it; infinite if no engine serves one kind of work that is requested.
  double utilisation(const RoleCapacity& capacity, const DemandRate& demand) const;
  /// \return the fraction of answers that are late or refused at a given utilisation.
  double lostShare(double utilisation) const;
  /// \return answers per second whose first token is late because their prompt queues behind long
  ///   prompts. Counts long prompts on prefill and mixed engines, and short prompts on mixed
  ///   engines. Decode engines get no long prompts, so short prompts don't wait there.
  double lostByQueueing(const RoleCapacity& capacity, const ModelDemand& limits,
                        const DemandRate& demand) const;
  /// \return the utilisation that long prompts would cause if all engines were mixed. The result
  ///   does not depend on the current roles, so a role change does not alter the condition that
  ///   triggered it.
  static double longPromptUtilisation(const std::vector<const PlannedEngine*>& engines,
                                      const CapacitySettings& settings,
                                      double long_tokens_per_second);
  /// \return the fraction of requests that are refused, or wait more than `slack` seconds for one
  ///   of `servers` engines that each take `service` seconds per prompt.
  double lateShare(double servers, double utilisation, double service, double slack) const;

 private:
  bool fits(const RoleCapacity& capacity, const DemandRate& demand, double time_share) const;

  CapacitySettings settings_;
};

}  // namespace cypresswall::planning
