/// Chooses how many engines of which kind a pool is to have in each location. Holds no clock and
/// does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::autoscaling {

/// Engines in one location, by kind.
struct EngineNumbers {
  std::uint32_t lasting = 0;
  std::uint32_t preemptible = 0;

  std::uint32_t total() const { return lasting + preemptible; }
  bool operator==(const EngineNumbers&) const = default;
};

/// Numbers by location.
using PoolNumbers = std::map<std::string, EngineNumbers>;

/// The work of a pool at one moment.
struct PoolLoad {
  /// Seconds a second that the work takes engines: engines that are busy all the time.
  double busy_engines = 0;
  /// Time that a long prompt takes an engine, and how long its caller can wait for that to begin;
  /// in seconds.
  double long_prompt_seconds = 0;
  double slack_seconds = 0;
};

struct PoolInput {
  configuration::AutoscalingDeclaration declaration;
  /// Engines that serve.
  PoolNumbers present;
  /// Engines that were there when this node began to plan.
  std::uint32_t at_first = 0;
  /// What is kept until `may_shrink`: engines that were there at first, or were wanted since.
  std::uint32_t kept = 0;
  /// The loads seen lately, the newest last; empty if nothing was seen yet.
  std::vector<PoolLoad> loads;
  /// False until demand was seen for long enough to order engines away.
  bool may_shrink = false;
  /// Locations where no preemptible engines are to be had now.
  std::vector<std::string> without_preemptible;
};

std::uint32_t totalOf(const PoolNumbers& numbers);

/// What is wanted, and why.
struct PoolPlan {
  PoolNumbers wanted;
  std::string reason;
};

class Planner {
 public:
  virtual ~Planner() = default;
  virtual PoolPlan plan(const PoolInput& input) const = 0;
};

/// \return the planner of a policy
std::unique_ptr<Planner> makePlanner(const AutoscalingSettings& settings);

/// \return the part of the requests that wait longer than their slack for an engine of its own
///   queue: engines hold different prefixes, so that a free one elsewhere does not help.
double lateShare(double utilisation, const PoolLoad& load);

}  // namespace cypresswall::autoscaling
