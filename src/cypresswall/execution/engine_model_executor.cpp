#include "cypresswall/execution/engine_model_executor.h"

#include <utility>

#include "cypresswall/execution/model_request.h"

namespace cypresswall::execution {
namespace {

/// The caller's handle of a running request. Its destructor cancels the request.
class RequestHandle final : public ModelExecution {
 public:
  explicit RequestHandle(std::shared_ptr<ModelRequest> request) : request_(std::move(request)) {}
  ~RequestHandle() override { request_->abandon(); }
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  void pause() override { request_->pause(); }
  void resume() override { request_->resume(); }

 private:
  std::shared_ptr<ModelRequest> request_;
};

}  // namespace

EngineModelExecutor::EngineModelExecutor(
    const api::ProcessContext& process, const configuration::ConfigurationView& configuration,
    admission::AdmissionController& admission, routing::Router& router,
    engines::EngineClient& engines, fleet_limits::RetryBudgets& retries,
    fleet_limits::RateLimiter& rate_limiter, quarantine::RequestQuarantine& quarantine,
    duties::UsageRecorder& usage, const ExecutionSettings& settings)
    : core_(process, configuration, admission, router, engines, retries, rate_limiter, quarantine,
            usage, settings) {}

std::unique_ptr<ModelExecution> EngineModelExecutor::start(ModelCall call,
                                                           ModelCallObserver& observer) {
  auto request = std::make_shared<ModelRequest>(core_, std::move(call), observer);
  request->start();
  return std::make_unique<RequestHandle>(std::move(request));
}

}  // namespace cypresswall::execution
