/// Runs a scenario under several role policies and seeds, and aggregates the results seen by
/// callers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/load/latency_samples.h"
#include "bench/simulate/scenario.h"
#include "bench/simulate/scenario_fleet.h"

namespace cypresswall::bench {

/// Requests of one kind in one run.
struct KindOutcome {
  std::uint64_t asked = 0;
  /// Complete answers that met the kind's limits for the first token and the mean token interval.
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  /// Late answers whose first token was late; the others exceeded the token interval.
  std::uint64_t late_first_token = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  LatencySamples first_token;
  /// Mean time between tokens of each answer.
  LatencySamples between_tokens;
};

/// Length of a period of RunOutcome::timeline.
inline constexpr common::Duration kTimelinePeriod = std::chrono::seconds(60);

/// One run: one policy, one seed.
struct RunOutcome {
  std::map<std::string, KindOutcome> kinds;
  /// As `kinds`, by the period in which requests were sent; the first starts with the run.
  std::vector<std::map<std::string, KindOutcome>> timeline;
  LatencySamples refusal;
  std::uint64_t refusals_without_retry_after = 0;
  emulation::EngineLedger engines;
  std::map<std::string, std::uint64_t> errors;
  /// Ratio of simulated time to processor time.
  double speed = 0;

  /// \return the share of requests answered in time, 0 to 1.
  double goodput() const;
  KindOutcome total() const;
  double cacheHitShare() const;
};

/// \throws FleetStartError
RunOutcome runScenario(const Scenario& scenario, const RolePolicy& policy, std::uint64_t seed);

/// All seeds of one policy.
struct PolicyOutcome {
  RolePolicy policy;
  std::vector<RunOutcome> runs;
};

/// Mean, minimum and maximum of a metric over the runs of a policy.
struct Spread {
  double mean = 0;
  double least = 0;
  double most = 0;
};
Spread spreadOf(const PolicyOutcome& outcome,
                const std::function<double(const RunOutcome&)>& metric);

}  // namespace cypresswall::bench
