/// Interface of everything that assigns roles to engines: the cost-based planner and the baselines
/// against which it is measured. A planner holds no clock and does no I/O.
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

/// Work asked of one model in one window of time.
struct DemandRate {
  double requests_per_second = 0;
  /// Prompt tokens that engines have to compute.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  /// Of these, requests whose prompt takes an engine longer than one step, and their prompts.
  double long_requests_per_second = 0;
  double long_prefill_tokens_per_second = 0;
  /// Requests whose prompt a prefill engine computes for another one.
  double prefill_engine_requests_per_second = 0;
  /// Seconds a second that these prompts take prefill engines, and that the other prompts take the
  /// engines that also generate the output.
  double prefill_engine_seconds = 0;
  double decode_engine_seconds = 0;
  /// Of these two, what long prompts take that an engine of either role may compute, and how many
  /// of them a second are at engines that also generate the output.
  double flexible_prefill_seconds = 0;
  double flexible_decode_seconds = 0;
  double flexible_decode_requests_per_second = 0;
  /// Seconds a second that the output takes engines with all of their places taken.
  double output_seconds = 0;
};

/// Demand for one model over a short and a long window.
struct ModelDemand {
  DemandRate short_window;
  DemandRate long_window;
  /// Tightest limit between tokens of the services that the model backs.
  common::Duration between_tokens_limit = std::chrono::milliseconds(79);
  /// Tightest and loosest limits of the first token of these services. Short prompts are taken to
  /// have the tightest, long ones the loosest.
  common::Duration short_first_token_limit = std::chrono::milliseconds(1300);
  common::Duration long_first_token_limit = std::chrono::milliseconds(1300);
};

/// One engine as the planner sees it.
struct PlannedEngine {
  common::EngineName name;
  common::ModelName model;
  engines::EngineRole role = engines::EngineRole::kMixed;
  /// Takes work now.
  bool available = false;
  /// May be given another role: available, not pinned, with no change under way.
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
  /// Changes under way, by model.
  std::map<common::ModelName, std::uint32_t> changes_under_way;
  configuration::PlanningPolicy policy;
  /// Drain and change together, as measured; zero takes the planner's own setting.
  common::Duration expected_time_away{0};
};

/// One way of changing a model's roles that was weighed.
struct PlanAlternative {
  common::EngineName engine;
  engines::EngineRole from = engines::EngineRole::kMixed;
  engines::EngineRole to = engines::EngineRole::kMixed;
  /// Answers in time gained over the horizon, the time away already paid.
  double benefit = 0;
};

/// Why a model's roles were changed or left.
struct ModelExplanation {
  common::ModelName model;
  ModelDemand demand;
  /// Part of the engines' time that the demand takes, with the roles as they are.
  double utilisation_short = 0;
  double utilisation_long = 0;
  /// The same of the decode engines alone, where roles are parted; above it is then that of the
  /// prefill engines.
  double decode_utilisation_short = 0;
  double decode_utilisation_long = 0;
  /// Engines that take work, or will once a change under way is done.
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  /// Answers late or refused over the horizon, with the roles as they are.
  double lost_without_change = 0;
  /// What a change has to gain.
  double required_benefit = 0;
  std::vector<PlanAlternative> alternatives;
  /// One sentence for people.
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
  /// \return a word for reports, such as "cost".
  virtual std::string name() const = 0;
  virtual Plan plan(const PlanningInput& input) = 0;
};

}  // namespace cypresswall::planning
