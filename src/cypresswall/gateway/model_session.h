/// One completion request: its execution on one side, its caller on the other.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/completion_format.h"
#include "cypresswall/gateway/completion_request.h"
#include "cypresswall/gateway/reader_pace.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

class ModelSession final : public Session, private execution::ModelCallObserver {
 public:
  ModelSession(GatewayContext& context, const GatewaySettings& settings, GatewayCounters& counters,
               CompletionRequest request, common::TenantName tenant, std::string request_id,
               std::shared_ptr<http::Responder> responder);

  void start(std::function<void()> ended) override;

 private:
  void onToken(std::uint32_t index, const std::string& text) override;
  void onFinished(const engines::StreamUsage& usage) override;
  void onError(const execution::ExecutionError& error) override;

  void streamToken(const std::string& text);
  void collectToken(const std::string& text);
  /// Sends the headers of a streamed answer, and its first event.
  void openStream();
  void callerGone();
  void callerStuck();
  void logEnd(const char* result, const std::string& reason);
  /// Nothing is done with the execution or the caller after this.
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  const GatewaySettings& settings_;
  GatewayCounters& counters_;
  CompletionRequest request_;
  common::TenantName tenant_;
  CompletionIdentity identity_;
  std::shared_ptr<http::Responder> responder_;
  std::function<void()> ended_;
  std::unique_ptr<execution::ModelExecution> execution_;
  /// Set once a streamed answer has begun.
  std::optional<StreamFormat> format_;
  /// The event under construction; kept for its memory.
  std::string event_;
  /// Text of an answer that is not streamed.
  std::string text_;
  std::uint32_t tokens_ = 0;
  ReaderPace pace_;
  bool over_ = false;
};

}  // namespace cypresswall::gateway
