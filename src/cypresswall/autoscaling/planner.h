/// Chooses the number of engines of each kind (lasting or preemptible) for each location of a pool.
/// Uses no clock and no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::autoscaling {

/// Number of engines in one location by kind. The platform may reclaim preemptible engines at any
/// time, but not lasting ones.
struct EngineCounts {
  std::uint32_t lasting = 0;
  std::uint32_t preemptible = 0;

  std::uint32_t total() const { return lasting + preemptible; }
  bool operator==(const EngineCounts&) const = default;
};

/// Engine counts by location.
using PoolCounts = std::map<std::string, EngineCounts>;

/// Load of a pool at one moment.
struct PoolLoad {
  /// Mean number of engines that the pool's requests keep busy.
  double busy_engines = 0;
  /// Mean time that a prefill engine takes to compute a prompt, in seconds; the maximum over the
  /// pool's models. Zero if prefill engines receive no prompts.
  double long_prompt_seconds = 0;
  /// Time in seconds that such a prompt may wait before its computation starts without missing the
  /// first-token target of its service; the maximum over the pool's services.
  double slack_seconds = 0;
};

struct PoolInput {
  configuration::AutoscalingDeclaration declaration;
  /// Declared engines of the pool, without those drained by an operator.
  PoolCounts present;
  /// Number of engines present when this node started to plan.
  std::uint32_t initial_engines = 0;
  /// Minimum number of engines while `may_shrink` is false: the larger of `initial_engines` and the
  /// total of the previous plan.
  std::uint32_t retained = 0;
  /// Loads reported within the last AutoscalingSettings::memory, newest last; empty if there are
  /// none.
  std::vector<PoolLoad> loads;
  /// False until AutoscalingSettings::memory has passed since the first demand; while it is false,
  /// the total number of engines is not reduced.
  bool may_shrink = false;
  /// Locations where the platform recently had no preemptible engines available.
  std::vector<std::string> without_preemptible;
};

std::uint32_t totalOf(const PoolCounts& counts);

/// The engines that the pool should have, and the reason in words for operators.
struct PoolPlan {
  PoolCounts wanted;
  std::string reason;
};

class Planner {
 public:
  virtual ~Planner() = default;
  virtual PoolPlan plan(const PoolInput& input) const = 0;
};

/// \return the planner for `settings.policy`; null for Policy::kNone
std::unique_ptr<Planner> makePlanner(const AutoscalingSettings& settings);

/// \return the estimated share (0 to 1) of requests that wait longer than `load.slack_seconds` in
///   the queue of an engine with this utilisation. Each engine has its own queue, because engines
///   cache different prompt prefixes and a request is not moved to an idle engine.
double lateShare(double utilisation, const PoolLoad& load);

}  // namespace cypresswall::autoscaling
