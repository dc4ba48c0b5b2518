/// Chooses the number of engines of each kind for each location of a pool. Pure computation without
/// a clock or I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::autoscaling {

/// Number of engines in one location by kind: lasting ones, and cheaper preemptible ones that the
/// platform may reclaim.
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
  /// Engine time per second that the requests need, i.e. the mean number of busy engines.
  double busy_engines = 0;
  /// Engine time of a long prompt, and how long it may wait before it starts without missing its
  /// target; in seconds.
  double long_prompt_seconds = 0;
  double slack_seconds = 0;
};

struct PoolInput {
  configuration::AutoscalingDeclaration declaration;
  /// Engines that serve requests.
  PoolCounts present;
  /// Engines present when this node started to plan.
  std::uint32_t initial_engines = 0;
  /// Minimum number of engines until `may_shrink`: those present initially or wanted since then.
  std::uint32_t retained = 0;
  /// Recent loads, newest last; empty if none were reported yet.
  std::vector<PoolLoad> loads;
  /// False until demand has been observed for long enough to release engines.
  bool may_shrink = false;
  /// Locations where no preemptible engines are available now.
  std::vector<std::string> without_preemptible;
};

std::uint32_t totalOf(const PoolCounts& counts);

/// Wanted engines, and the reason for operators.
struct PoolPlan {
  PoolCounts wanted;
  std::string reason;
};

class Planner {
 public:
  virtual ~Planner() = default;
  virtual PoolPlan plan(const PoolInput& input) const = 0;
};

/// \return the planner of the configured policy; null if the policy orders nothing
std::unique_ptr<Planner> makePlanner(const AutoscalingSettings& settings);

/// \return the share of requests that wait longer than their slack, with a separate queue for each
///   engine: engines cache different prefixes, so another idle engine does not help
double lateShare(double utilisation, const PoolLoad& load);

}  // namespace cypresswall::autoscaling
