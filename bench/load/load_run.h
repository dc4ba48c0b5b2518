/// A whole load run: phases on one or two targets, in turn.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bench/load/load_generator.h"
#include "bench/load/usage_monitor.h"

namespace cypresswall::bench {

struct LoadRunSettings {
  std::vector<LoadTarget> targets;
  LoadPlan plan;
  /// How often each target is measured; the targets take turns, so that slow changes of the
  /// machine touch all of them.
  std::uint32_t rounds = 1;
  std::uint32_t threads = 1;
  std::vector<WatchedProcess> watched;
};

/// What was measured on one target over all rounds.
struct TargetReport {
  std::string name;
  LoadResult result;
  /// Wall-clock time of all phases, from the first request to the last answer.
  common::Duration time{0};
  /// Summed over the rounds, in the order of LoadRunSettings::watched; memory is the largest.
  std::vector<UsageOfPhase> usages;
};

/// \param progress called with a line for people before each phase
std::vector<TargetReport> runLoad(const LoadRunSettings& settings,
                                  const std::function<void(const std::string&)>& progress);

}  // namespace cypresswall::bench
