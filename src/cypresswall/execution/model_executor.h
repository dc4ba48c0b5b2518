/// Runs model requests: admission, routing, attempts, resume on another engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/prompt.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/engine_types.h"
#include "cypresswall/execution/outcome.h"

namespace cypresswall::execution {

/// One model request of a caller.
struct ModelCall {
  std::string request_id;
  /// By what the request is known again when its caller sends it anew; zero if not worked out.
  common::RequestFingerprint fingerprint = 0;
  common::TenantName tenant;
  /// The tenant's own urgency, which goes before the service's.
  std::optional<configuration::Urgency> urgency;
  /// Asked before each attempt: false once the caller's key has been taken away. Empty: always.
  std::function<bool()> still_allowed;
  /// Declared model service, or a model's own name.
  common::ServiceName service;
  std::string prompt;
  /// Zero asks for the service's maximum.
  std::uint32_t maximum_tokens = 0;
  /// For the simulator, which has no text: used instead of measuring `prompt` if its tokens are
  /// not zero.
  common::PromptShape shape;
  /// Set if the caller's own request is handed on unchanged (engines::StreamRequest).
  std::shared_ptr<const engines::PassThroughRequest> pass_through;
  /// How long the caller waits for the whole answer; zero leaves it to the service's time limit.
  common::Duration time_limit{0};
};

/// Receives the answer. Exactly one of onFinished and onError is called, as the last call.
class ModelCallObserver {
 public:
  virtual ~ModelCallObserver() = default;
  /// Gives the head of an answer that is passed through, once, before the first token; the answer
  /// keeps the head of its first engine though another one resumes it.
  virtual void onHead(const engines::AnswerHead& /*head*/) {}
  /// Tokens come in order, each index once.
  virtual void onToken(std::uint32_t index, const std::string& text) = 0;
  virtual void onFinished(const engines::StreamUsage& usage) = 0;
  virtual void onError(const ExecutionError& error) = 0;
};

/// Holds a running request; destroying it means that the caller went away: the stream on the
/// engine is cancelled and the observer is not called again.
class ModelExecution {
 public:
  virtual ~ModelExecution() = default;
  /// Stops taking tokens from the engine until resume(), for a caller that reads slowly.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

class ModelExecutor {
 public:
  virtual ~ModelExecutor() = default;
  /// Starts a request. `observer` must outlive the returned object and is never called before the
  /// call returns.
  virtual std::unique_ptr<ModelExecution> start(ModelCall call, ModelCallObserver& observer) = 0;
};

}  // namespace cypresswall::execution
