/// One completion request: connects the model execution to the caller.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/completion_format.h"
#include "cypresswall/gateway/completion_request.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/gateway/stream_flow_control.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

class ModelSession final : public Session, private execution::ModelCallObserver {
 public:
  ModelSession(GatewayContext& context, const GatewaySettings& settings, GatewayCounters& counters,
               CompletionRequest request, common::TenantName tenant, std::string request_id,
               std::shared_ptr<http::Responder> responder);

  void start(std::function<void()> ended) override;
  void cancel(const execution::ExecutionError& error) override;

 private:
  void onToken(std::uint32_t index, const std::string& text) override;
  void onFinished(const engines::StreamUsage& usage) override;
  void onError(const execution::ExecutionError& error) override;

  void streamToken(const std::string& text);
  void collectToken(const std::string& text);
  /// Sends the headers and the first event of a streamed answer.
  void openStream();
  void onCallerDisconnected();
  void onCallerStalled();
  void logEnd(const char* result, const std::string& reason);
  /// Ends the session; neither the execution nor the caller is used afterwards.
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  const GatewaySettings& settings_;
  GatewayCounters& counters_;
  CompletionRequest request_;
  common::TenantName tenant_;
  CompletionIdentity identity_;
  std::shared_ptr<http::Responder> responder_;
  std::function<void()> on_ended_;
  std::unique_ptr<execution::ModelExecution> execution_;
  /// Set once a streamed answer has started.
  std::optional<StreamFormatter> formatter_;
  /// Buffer for the event being formatted; a member so that its memory is reused.
  std::string event_;
  /// Text of a non-streamed answer.
  std::string text_;
  std::uint32_t tokens_ = 0;
  StreamFlowControl flow_control_;
  bool finished_ = false;
};

}  // namespace cypresswall::gateway
