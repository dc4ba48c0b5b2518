/// Executes model requests on this node, or on another one while this node reaches no engine.
#pragma once

#include <memory>

#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/forwarding/forwarder.h"

namespace cypresswall::forwarding {

/// Requests that have begun on this node go on here, unless they end because the path to the
/// engines was lost before they were sent.
class ForwardingModelExecutor final : public execution::ModelExecutor {
 public:
  /// \param local executes requests on this node
  /// \pre all references outlive this object
  ForwardingModelExecutor(Forwarder& forwarder,
                          const configuration::ConfigurationView& configuration,
                          execution::ModelExecutor& local)
      : forwarder_(forwarder), configuration_(configuration), local_(local) {}

  std::unique_ptr<execution::ModelExecution> start(execution::ModelCall call,
                                                   execution::ModelCallObserver& observer) override;

 private:
  Forwarder& forwarder_;
  const configuration::ConfigurationView& configuration_;
  execution::ModelExecutor& local_;
};

}  // namespace cypresswall::forwarding
