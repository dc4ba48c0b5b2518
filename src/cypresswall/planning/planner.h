/// Interface of the planners that assign roles to engines: the cost-based planners and the simple
/// ones that serve as baselines. A planner has no clock and does no I/O.
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

/// Demand for one model in one time window. Fields whose names end in `_seconds` are engine seconds
/// per second: the mean number of engines that the work keeps busy.
struct DemandRate {
  double requests_per_second = 0;
  /// Prompt tokens that engines have to compute.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  /// Requests whose prompt takes more than one engine step to compute ("long prompts").
  double long_requests_per_second = 0;
  /// Tokens of the long prompts that engines have to compute.
  double long_prefill_tokens_per_second = 0;
  /// Requests whose prompt is computed by a prefill engine and whose output by another engine.
  double prefill_engine_requests_per_second = 0;
  /// Time that prefill engines spend on prompts.
  double prefill_engine_seconds = 0;
  /// Time that engines that also generate the output spend on prompts.
  double decode_engine_seconds = 0;
  /// Part of `prefill_engine_seconds` spent on flexible prompts: long prompts that a decode engine
  /// may compute without delaying output too much.
  double flexible_prefill_seconds = 0;
  /// Part of `decode_engine_seconds` spent on flexible prompts.
  double flexible_decode_seconds = 0;
  /// Rate of the flexible prompts that are computed by the engine that also generates the output.
  double flexible_decode_requests_per_second = 0;
  /// Time that output takes on engines whose stream slots are all in use.
  double output_seconds = 0;
};

/// Demand for one model over a short and a long window.
struct ModelDemand {
  DemandRate short_window;
  DemandRate long_window;
  /// Smallest limit on the time between tokens among the services that use the model. The default
  /// applies if no service declares a limit.
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  /// Limit on the time to first token that is assumed for short prompts: the smallest target or
  /// limit among the services that use the model. The default applies if no service declares a
  /// limit.
  common::Duration short_first_token_limit = std::chrono::milliseconds(1300);
  /// The same for long prompts: the largest target or limit among these services.
  common::Duration long_first_token_limit = std::chrono::milliseconds(1300);
};

/// Planner input about one engine.
struct PlannedEngine {
  common::EngineName name;
  common::ModelName model;
  engines::EngineRole role = engines::EngineRole::kMixed;
  /// The engine accepts work now, or is being drained for a change and will accept work afterwards.
  bool available = false;
  /// The engine's role may be changed: the engine is available, its role is not pinned by an
  /// operator, and changes of the engine are neither in progress nor paused.
  bool changeable = false;
  /// Prompt speed that the engine has, or would have, in the role "prefill".
  double prefill_tokens_per_second = 0;
  /// Duration of a decode step without streams, in seconds.
  double decode_step_base = 0;
  /// Additional duration of a decode step for each stream, in seconds.
  double decode_step_per_stream = 0;
  std::uint32_t maximum_streams = 0;
  /// Running and waiting streams.
  std::uint32_t streams = 0;
};

struct PlanningInput {
  std::map<common::ModelName, ModelDemand> demand;
  /// Ordered by name.
  std::vector<PlannedEngine> engines;
  /// Number of changes in progress, by model.
  std::map<common::ModelName, std::uint32_t> changes_in_progress;
  configuration::PlanningPolicy policy;
  /// Measured time to drain an engine and change its role; zero if not measured, in which case the
  /// planner's setting applies.
  common::Duration expected_change_time{0};
};

/// A role change that the planner considered.
struct PlanAlternative {
  common::EngineName engine;
  engines::EngineRole from = engines::EngineRole::kMixed;
  engines::EngineRole to = engines::EngineRole::kMixed;
  /// Gain from the change within the policy's horizon, less the loss while the engine is
  /// unavailable. The cost-based planner counts answers in time; the disaggregated planner counts
  /// engine seconds spent on them.
  double benefit = 0;
};

/// Explains why a model's roles were changed or kept.
struct ModelExplanation {
  common::ModelName model;
  ModelDemand demand;
  /// Utilisation of the engines with the current roles, by the demand of the short window and of
  /// the long window. With the disaggregated planner, utilisation of the prefill engines only.
  double utilisation_short = 0;
  double utilisation_long = 0;
  /// Utilisation of the decode engines by the demand of the short window and of the long window;
  /// zero unless the disaggregated planner is used.
  double decode_utilisation_short = 0;
  double decode_utilisation_long = 0;
  /// Number of available engines in the roles "prefill" and "decode"; zero unless the disaggregated
  /// planner is used.
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  /// Answers that would be late or refused within the horizon with the current roles and the demand
  /// of the short window. Same unit as PlanAlternative::benefit.
  double lost_without_change = 0;
  /// A change is made only if its benefit exceeds this. Same unit as PlanAlternative::benefit.
  double required_benefit = 0;
  std::vector<PlanAlternative> alternatives;
  /// Summary for operators, in one line.
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
