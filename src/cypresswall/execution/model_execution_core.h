/// State and dependencies shared by all model requests of a node.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cypresswall/admission/admission.h"
#include "cypresswall/answer_builds/answer_builds.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/duties/usage_recorder.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/execution/deferred_destruction.h"
#include "cypresswall/execution/engine_attempt.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/execution/request_journal.h"
#include "cypresswall/execution/stream_moves.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/quarantine/request_quarantine.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// Counters of model requests.
struct ModelRequestCounters {
  explicit ModelRequestCounters(common::CounterRegistry& registry);
  common::Counter& started;
  common::Counter& done;
  common::Counter& abandoned;
  common::Counter& failed_not_run;
  common::Counter& failed_unknown;
  common::Counter& refused;
  common::Counter& attempts;
  common::Counter& retries_after_run;
  common::Counter& retries_after_no_run;
  common::Counter& resumed;
  common::Counter& stalled;
  common::Counter& retry_budget_exhausted;
};

/// Allocates stream identifiers and attempt numbers, holds the dependencies of model requests and
/// destroys finished attempts outside their own callbacks.
class ModelExecutionCore {
 public:
  ModelExecutionCore(const api::ProcessContext& process_context,
                     const configuration::ConfigurationView& configuration_view,
                     admission::AdmissionController& admission_controller,
                     routing::Router& request_router, engines::EngineClient& engine_client,
                     fleet_limits::RetryBudgets& retry_budgets,
                     fleet_limits::RateLimiter& request_rate_limiter,
                     quarantine::RequestQuarantine& request_quarantine,
                     duties::UsageRecorder& usage_recorder,
                     const ExecutionSettings& execution_settings);

  /// \return a stream identifier that is unique across all processes
  std::string nextStreamId();
  bool pathLost() const { return server_path != nullptr && server_path->lost(); }
  /// \return an attempt number that is unique within this process
  std::uint32_t nextAttemptNumber() { return next_attempt_++; }
  /// Detaches a finished attempt from its listener and destroys it in the next scheduler callback,
  /// because this function may be called from within a callback of the attempt's stream.
  void retire(std::unique_ptr<EngineAttempt> attempt);

  const api::ProcessContext& process;
  const configuration::ConfigurationView& configuration;
  admission::AdmissionController& admission;
  routing::Router& router;
  engines::EngineClient& engines;
  fleet_limits::RetryBudgets& retries;
  fleet_limits::RateLimiter& rate_limiter;
  quarantine::RequestQuarantine& quarantine;
  duties::UsageRecorder& usage;
  /// Whether this node reaches engines; null if that is not known.
  const api::ServerPath* server_path = nullptr;
  /// Which software build began an answer; null if that is not recorded.
  answer_builds::AnswerBuilds* answer_builds = nullptr;
  const ExecutionSettings settings;
  const common::MonotonicTime started_at;
  StreamEventCounters stream_events;
  ModelRequestCounters counters;
  RequestJournal journal;
  StreamMoves moves;

 private:
  DeferredDestruction<EngineAttempt> retired_;
  const std::string stream_prefix_;
  std::uint64_t next_stream_ = 1;
  std::uint32_t next_attempt_;
};

}  // namespace cypresswall::execution
