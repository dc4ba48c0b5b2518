/// Executes requests to plain HTTP services.
#pragma once

#include <cstddef>
#include <memory>

#include "cypresswall/execution/service_execution_core.h"
#include "cypresswall/execution/service_executor.h"

namespace cypresswall::execution {

class HttpServiceExecutor final : public ServiceExecutor {
 public:
  HttpServiceExecutor(const api::ProcessContext& process, const ServiceInterfaces& interfaces,
                      const ExecutionSettings& settings = {});
  std::unique_ptr<ServiceExecution> start(ServiceCallRequest request,
                                          ServiceCallCallback callback) override;
  /// \return the number of requests in progress, including those whose caller has disconnected; a
  ///   graceful shutdown waits until it is zero
  std::size_t running() const { return core_.running(); }
  const RequestJournal& journal() const { return core_.journal; }

 private:
  ServiceExecutionCore core_;
};

}  // namespace cypresswall::execution
