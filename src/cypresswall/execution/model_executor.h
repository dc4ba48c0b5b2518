/// Interface for running model requests: admission, routing, attempts and resumption on another
/// engine.
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

/// An answer that a caller has received in part and takes up again with a new request.
struct AnswerContinuation {
  /// Identifier of the request that brought the answer's first token; empty if the caller names
  /// none.
  std::string began_as;
  /// The last token that the caller has received, by the engines' own identifier of it.
  std::string position;
};

/// A caller's model request.
struct ModelCall {
  std::string request_id;
  /// Hash by which a request is recognised when a caller sends it again; zero if it was not
  /// computed.
  common::RequestFingerprint fingerprint = 0;
  common::TenantName tenant;
  /// Tokens by which the request counts towards the tenant's quota; zero if the caller named none.
  std::uint32_t quota_tokens = 0;
  /// Urgency set for the tenant, which overrides the urgency of the service; empty if none is set.
  std::optional<configuration::Urgency> urgency;
  /// Called before each attempt; returns false once the caller's API key has been revoked. If no
  /// function is set, attempts are always allowed.
  std::function<bool()> still_allowed;
  /// Name of a declared model service or of a model.
  common::ServiceName service;
  std::string prompt;
  /// Maximum number of output tokens; zero selects the service's maximum.
  std::uint32_t maximum_tokens = 0;
  /// Properties of the prompt, set by the simulator, which has no prompt text. Used instead of
  /// `prompt` if `shape.tokens` is not zero.
  common::PromptShape shape;
  /// Set if the caller's request is forwarded unchanged (see engines::StreamRequest).
  std::shared_ptr<const engines::PassThroughRequest> pass_through;
  /// Caller's time limit for the complete answer; zero means that only the service's limit applies.
  common::Duration time_limit{0};
  /// Set if the caller already has the beginning of the answer.
  std::optional<AnswerContinuation> continues;
};

/// Receives the answer. Exactly one of onFinished() and onError() is called, as the last call.
class ModelCallObserver {
 public:
  virtual ~ModelCallObserver() = default;
  /// Called at most once, before the first token, with the response head if the answer is passed
  /// through. If the answer is resumed on another engine, that engine's head is not reported.
  virtual void onHead(const engines::AnswerHead& /*head*/) {}
  /// Called once for each token, in the order of their indices.
  virtual void onToken(std::uint32_t index, const std::string& text) = 0;
  virtual void onFinished(const engines::StreamUsage& usage) = 0;
  virtual void onError(const ExecutionError& error) = 0;
};

/// Handle of a running request. Destroying it cancels the request: the stream on the engine is
/// cancelled and the observer is not called again.
class ModelExecution {
 public:
  virtual ~ModelExecution() = default;
  /// Stops reading tokens from the engine until resume() is called (back-pressure from a slow
  /// caller).
  virtual void pause() = 0;
  virtual void resume() = 0;
};

class ModelExecutor {
 public:
  virtual ~ModelExecutor() = default;
  /// Starts a request. `observer` must outlive the returned object and is never called
  /// synchronously.
  virtual std::unique_ptr<ModelExecution> start(ModelCall call, ModelCallObserver& observer) = 0;
};

}  // namespace cypresswall::execution
