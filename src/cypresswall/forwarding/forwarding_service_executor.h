/// Executes requests to plain services on this node, or on another one while this node reaches no
/// back end.
#pragma once

#include <memory>

#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/forwarding/forwarder.h"

namespace cypresswall::forwarding {

/// As ForwardingModelExecutor, for plain services. A request with an idempotency key that has begun
/// on this node is not forwarded, since its claim may not be released before the receiver claims
/// the key.
class ForwardingServiceExecutor final : public execution::ServiceExecutor {
 public:
  /// \param local executes requests on this node
  /// \pre all references outlive this object
  ForwardingServiceExecutor(Forwarder& forwarder,
                            const configuration::ConfigurationView& configuration,
                            execution::ServiceExecutor& local)
      : forwarder_(forwarder), configuration_(configuration), local_(local) {}

  std::unique_ptr<execution::ServiceExecution> start(
      execution::ServiceCallRequest request, execution::ServiceCallCallback callback) override;

 private:
  Forwarder& forwarder_;
  const configuration::ConfigurationView& configuration_;
  execution::ServiceExecutor& local_;
};

}  // namespace cypresswall::forwarding
