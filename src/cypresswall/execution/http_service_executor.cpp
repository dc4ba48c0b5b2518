#include "cypresswall/execution/http_service_executor.h"

#include <utility>

#include "cypresswall/execution/service_run.h"

namespace cypresswall::execution {
namespace {

/// The caller's handle of a running request. Its destructor tells the request that the caller has
/// disconnected; the request itself is owned by the core.
class RunHandle final : public ServiceExecution {
 public:
  explicit RunHandle(std::weak_ptr<ServiceRun> run) : run_(std::move(run)) {}
  ~RunHandle() override {
    if (const auto run = run_.lock()) {
      run->abandon();
    }
  }
  RunHandle(const RunHandle&) = delete;
  RunHandle& operator=(const RunHandle&) = delete;

 private:
  std::weak_ptr<ServiceRun> run_;
};

}  // namespace

HttpServiceExecutor::HttpServiceExecutor(const api::ProcessContext& process,
                                         const ServiceInterfaces& interfaces,
                                         const ExecutionSettings& settings)
    : core_(process, interfaces, settings) {}

std::unique_ptr<ServiceExecution> HttpServiceExecutor::start(ServiceCallRequest request,
                                                             ServiceCallCallback callback) {
  auto run = std::make_shared<ServiceRun>(core_, std::move(request), std::move(callback));
  auto handle = std::make_unique<RunHandle>(run);
  core_.add(run);
  run->start();
  return handle;
}

}  // namespace cypresswall::execution
