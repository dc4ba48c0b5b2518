#include "cypresswall/execution/service_execution_core.h"

#include <utility>

#include "cypresswall/execution/service_run.h"

namespace cypresswall::execution {
namespace {

common::Counter& outcomeCounter(common::CounterRegistry& registry, const char* outcome) {
  return registry.counter("cypresswall_execution_service_requests_total",
                          "Service requests by how they ended", "outcome", outcome);
}

common::Counter& retriesCounter(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_execution_service_retries_total",
                          "Further attempts at service requests", "reason", reason);
}

}  // namespace

ServiceRequestCounters::ServiceRequestCounters(common::CounterRegistry& registry)
    : started(registry.counter("cypresswall_execution_service_requests_started_total",
                               "Service requests taken from callers")),
      done(outcomeCounter(registry, "done")),
      failed_not_run(outcomeCounter(registry, "not_run")),
      failed_unknown(outcomeCounter(registry, "unknown")),
      abandoned(outcomeCounter(registry, "abandoned")),
      attempts(registry.counter("cypresswall_execution_service_attempts_total",
                                "Calls made to back ends")),
      retries_after_run(retriesCounter(registry, "broken")),
      retries_after_no_run(retriesCounter(registry, "not_run")),
      retry_budget_exhausted(
          registry.counter("cypresswall_execution_service_retry_budget_spent_total",
                           "Retries not made because the budget was spent")),
      misdirected(registry.counter("cypresswall_execution_service_misdirected_total",
                                   "Calls that found another back end at the address")),
      late_answers(registry.counter("cypresswall_execution_service_late_answers_total",
                                    "Answers dropped because their attempt was over")),
      late_grants(registry.counter("cypresswall_execution_service_late_grants_total",
                                   "Granted claims not used because they came too late")),
      finished_after_abandon(
          registry.counter("cypresswall_execution_service_finished_unheard_total",
                           "Operations run to the end after their caller went")) {}

ServiceExecutionCore::ServiceExecutionCore(const api::ProcessContext& process_context,
                                           const ServiceInterfaces& service_interfaces,
                                           const ExecutionSettings& execution_settings)
    : process(process_context),
      interfaces(service_interfaces),
      settings(execution_settings),
      counters(process_context.counters),
      journal(execution_settings.retained_request_records),
      ended_calls(process_context.scheduler) {}

void ServiceExecutionCore::add(std::shared_ptr<ServiceRun> run) {
  const auto* key = run.get();
  runs_.emplace(key, std::move(run));
}

}  // namespace cypresswall::execution
