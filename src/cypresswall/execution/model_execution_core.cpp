#include "cypresswall/execution/model_execution_core.h"

#include <array>
#include <cstdio>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::execution {
namespace {

/// Upper bound of the first attempt number, which is chosen at random. The random choice makes it
/// unlikely that a restarted process reuses attempt numbers that it used before the restart.
constexpr std::uint64_t kFirstAttemptNumberBound = 1U << 30;

common::Counter& outcomeCounter(common::CounterRegistry& registry, const char* outcome) {
  return registry.counter("cypresswall_execution_model_requests_total",
                          "Model requests by how they ended", "outcome", outcome);
}

common::Counter& retriesCounter(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_execution_model_retries_total",
                          "Further attempts at model requests", "reason", reason);
}

std::string streamPrefix(const common::NodeId& self) {
  std::array<char, 18> text{};
  const auto hash = static_cast<unsigned long long>(common::hash64(self.toString()));
  std::snprintf(text.data(), text.size(), "%016llx-", hash);
  return text.data();
}

}  // namespace

ModelRequestCounters::ModelRequestCounters(common::CounterRegistry& registry)
    : started(registry.counter("cypresswall_execution_model_requests_started_total",
                               "Model requests taken from callers")),
      done(outcomeCounter(registry, "done")),
      abandoned(outcomeCounter(registry, "abandoned")),
      failed_not_run(outcomeCounter(registry, "not_run")),
      failed_unknown(outcomeCounter(registry, "unknown")),
      refused(outcomeCounter(registry, "refused")),
      attempts(registry.counter("cypresswall_execution_model_attempts_total",
                                "Streams started on engines")),
      retries_after_run(retriesCounter(registry, "broken")),
      retries_after_no_run(retriesCounter(registry, "not_run")),
      resumed(registry.counter("cypresswall_execution_model_resumed_total",
                               "Answers resumed after their first token")),
      stalled(registry.counter("cypresswall_execution_model_silent_total",
                               "Attempts given up because the engine was silent")),
      retry_budget_exhausted(
          registry.counter("cypresswall_execution_model_retry_budget_spent_total",
                           "Retries not made because the budget was spent")) {}

ModelExecutionCore::ModelExecutionCore(const api::ProcessContext& process_context,
                                       const configuration::ConfigurationView& configuration_view,
                                       admission::AdmissionController& admission_controller,
                                       routing::Router& request_router,
                                       engines::EngineClient& engine_client,
                                       fleet_limits::RetryBudgets& retry_budgets,
                                       fleet_limits::RateLimiter& request_rate_limiter,
                                       quarantine::RequestQuarantine& request_quarantine,
                                       duties::UsageRecorder& usage_recorder,
                                       const ExecutionSettings& execution_settings)
    : process(process_context),
      configuration(configuration_view),
      admission(admission_controller),
      router(request_router),
      engines(engine_client),
      retries(retry_budgets),
      rate_limiter(request_rate_limiter),
      quarantine(request_quarantine),
      usage(usage_recorder),
      settings(execution_settings),
      started_at(process_context.clock.now()),
      stream_events(process_context.counters),
      counters(process_context.counters),
      journal(execution_settings.retained_request_records),
      moves(execution_settings.stream_moves, process_context),
      retired_(process_context.scheduler),
      stream_prefix_(streamPrefix(process_context.self)),
      next_attempt_(
          static_cast<std::uint32_t>(process_context.random.below(kFirstAttemptNumberBound)) + 1) {}

std::string ModelExecutionCore::nextStreamId() {
  return stream_prefix_ + std::to_string(next_stream_++);
}

void ModelExecutionCore::retire(std::unique_ptr<EngineAttempt> attempt) {
  attempt->detach();
  retired_.add(std::move(attempt));
}

}  // namespace cypresswall::execution
