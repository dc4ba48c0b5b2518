/// Interface of the planners that assign roles to engines: the cost-based ones and the baselines
/// they are compared with. A planner has no clock and does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::planning {

/// Demand for one model in one time window.
struct DemandRate {
  double requests_per_second = 0;
  /// Prompt tokens that engines have to compute.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  /// Requests whose prompt takes more than one engine step, and their prompt tokens.
  double long_requests_per_second = 0;
  double long_prefill_tokens_per_second = 0;
  /// Requests whose prompt a prefill engine computes for a decode engine.
  double prefill_engine_requests_per_second = 0;
  /// Engine seconds per second that these prompts take on prefill engines, and that the other
  /// prompts take on the engines that also generate the output.
  double prefill_engine_seconds = 0;
  double decode_engine_seconds = 0;
  /// The parts of these two due to long prompts that an engine of either role may compute, and the
  /// rate of such prompts on engines that also generate the output.
  double flexible_prefill_seconds = 0;
  double flexible_decode_seconds = 0;
  double flexible_decode_requests_per_second = 0;
  /// Engine seconds per second that output takes, on engines whose stream slots are all in use.
  double output_seconds = 0;
};

/// Demand for one model over a short and a long window.
struct ModelDemand {
  DemandRate short_window;
  DemandRate long_window;
  /// Tightest limit on the time between tokens among the services that use the model.
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  /// Tightest and loosest first-token limits among these services. Short prompts are assumed to
  /// have the tightest, long ones the loosest.
  common::Duration short_first_token_limit = std::chrono::milliseconds(1300);
  common::Duration long_first_token_limit = std::chrono::milliseconds(1300);
};

/// Planner input about one engine.
struct PlannedEngine {
  common::EngineName name;
  common::ModelName model;
  engines::EngineRole role = engines::EngineRole::kMixed;
  /// Accepts work now.
  bool available = false;
  /// Its role may be changed: available, not pinned, no change in progress.
  bool changeable = false;
  /// Speed in the role "prefill".
  double prefill_tokens_per_second = 0;
  double decode_step_base = 0;
  double decode_step_per_stream = 0;
  std::uint32_t maximum_streams = 0;
  std::uint32_t streams = 0;
};

struct PlanningInput {
  std::map<common::ModelName, ModelDemand> demand;
  /// Ordered by name.
  std::vector<PlannedEngine> engines;
  /// Changes in progress, by model.
  std::map<common::ModelName, std::uint32_t> changes_in_progress;
  configuration::PlanningPolicy policy;
  /// Measured time to drain an engine and change its role; zero selects the planner's own setting.
  common::Duration expected_change_time{0};
};

/// A role change that was considered.
struct PlanAlternative {
  common::EngineName engine;
  engines::EngineRole from = engines::EngineRole::kMixed;
  engines::EngineRole to = engines::EngineRole::kMixed;
  /// Answers in time gained over the horizon, net of the loss while the engine is unavailable.
  double benefit = 0;
};

/// Why a model's roles were changed or kept.
struct ModelExplanation {
  common::ModelName model;
  ModelDemand demand;
  /// Utilisation of the engines with the current roles.
  double utilisation_short = 0;
  double utilisation_long = 0;
  /// Utilisation of the decode engines, where prefill and decode are separate; the values above are
  /// then those of the prefill engines.
  double decode_utilisation_short = 0;
  double decode_utilisation_long = 0;
  /// Engines that accept work, or will after a change in progress.
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  /// Answers late or refused over the horizon with the current roles.
  double lost_without_change = 0;
  /// Minimum benefit for a change.
  double required_benefit = 0;
  std::vector<PlanAlternative> alternatives;
  /// Summary for operators, one sentence.
  std::string conclusion;
};

struct RoleChange {
  common::EngineName engine;
  engines::EngineRole role = engines::EngineRole::kMixed;
};

struct Plan {
  std::vector<RoleChange> changes;
  std::vector<ModelExplanation> explanations;
};

class Planner {
 public:
  virtual ~Planner() = default;
  /// \return the name used in reports, such as "cost".
  virtual std::string name() const = 0;
  virtual Plan plan(const PlanningInput& input) = 0;
};

}  // namespace cypresswall::planning
