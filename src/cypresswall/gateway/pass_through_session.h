/// One model request whose answer is forwarded to the caller byte for byte as the engine sent it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/gateway/stream_flow_control.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// If the request fails after the head of its answer was sent, the session aborts the caller's
/// connection, so that the caller can't mistake the answer for a complete one.
class PassThroughSession final : public Session, private execution::ModelCallObserver {
 public:
  /// \param write_error answers a request that failed before the head of its answer was sent
  PassThroughSession(GatewayContext& context, const GatewaySettings& settings,
                     GatewayCounters& counters, execution::ModelCall call,
                     std::shared_ptr<http::Responder> responder, ErrorWriter write_error);

  void start(std::function<void()> ended) override;
  void cancel(const execution::ExecutionError& error) override;

 private:
  void onHead(const engines::AnswerHead& head) override;
  void onToken(std::uint32_t index, const std::string& text) override;
  void onFinished(const engines::StreamUsage& usage) override;
  void onError(const execution::ExecutionError& error) override;

  void onCallerDisconnected(const std::string& reason);
  /// Ends the session; neither the execution nor the caller is used afterwards.
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  GatewayCounters& counters_;
  execution::ModelCall call_;
  std::string request_id_;
  common::ServiceName service_;
  std::shared_ptr<http::Responder> responder_;
  ErrorWriter write_error_;
  std::function<void()> on_ended_;
  std::unique_ptr<execution::ModelExecution> execution_;
  StreamFlowControl flow_control_;
  bool head_sent_ = false;
  bool finished_ = false;
};

}  // namespace cypresswall::gateway
