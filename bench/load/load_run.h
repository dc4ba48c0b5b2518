/// A complete load run: phases that alternate between one or two targets.
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
  /// Phases per target. The targets alternate, so that slow changes of the machine's speed affect
  /// all of them.
  std::uint32_t rounds = 1;
  std::uint32_t threads = 1;
  std::vector<WatchedProcess> watched;
};

/// Measurements of one target over all rounds.
struct TargetReport {
  std::string name;
  LoadResult result;
  /// Wall-clock time of all phases, from the first request to the last answer.
  common::Duration time{0};
  /// Sums over the rounds (for memory, the maximum), in the order of LoadRunSettings::watched.
  std::vector<UsageOfPhase> usages;
};

/// \param progress called with a human-readable line before each phase
std::vector<TargetReport> runLoad(const LoadRunSettings& settings,
                                  const std::function<void(const std::string&)>& progress);

}  // namespace cypresswall::bench
