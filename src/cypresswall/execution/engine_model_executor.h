/// Executes model requests on model engines.
#pragma once

#include <memory>

#include "cypresswall/duties/usage_recorder.h"
#include "cypresswall/execution/model_execution_core.h"
#include "cypresswall/execution/model_executor.h"

namespace cypresswall::execution {

/// Runs each request on an engine chosen by the router. If an attempt fails, the request is retried
/// or its answer resumed on another engine, as far as its limits and retry budget allow. All
/// referenced objects must outlive the executor.
class EngineModelExecutor final : public ModelExecutor {
 public:
  EngineModelExecutor(const api::ProcessContext& process,
                      const configuration::ConfigurationView& configuration,
                      admission::AdmissionController& admission, routing::Router& router,
                      engines::EngineClient& engines, fleet_limits::RetryBudgets& retries,
                      fleet_limits::RateLimiter& rate_limiter,
                      quarantine::RequestQuarantine& quarantine, duties::UsageRecorder& usage,
                      const ExecutionSettings& settings = {});
  std::unique_ptr<ModelExecution> start(ModelCall call, ModelCallObserver& observer) override;
  /// Sets how requests learn that this node reaches no engine; they then end with
  /// ErrorKind::kPathLost. Without it, they try one engine after the other.
  void setServerPath(const api::ServerPath& path) { core_.server_path = &path; }
  /// Sets how requests that take an answer up learn which software build began it. Without it, any
  /// engine may continue such an answer.
  void setAnswerBuilds(answer_builds::AnswerBuilds& builds) { core_.answer_builds = &builds; }
  const RequestJournal& journal() const { return core_.journal; }

 private:
  ModelExecutionCore core_;
};

}  // namespace cypresswall::execution
