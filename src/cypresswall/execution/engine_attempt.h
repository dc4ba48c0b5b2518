/// One attempt at a model request on one engine. Checks the events of the engine's stream before it
/// forwards them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cypresswall/common/counters.h"
#include "cypresswall/engines/engine_client.h"

namespace cypresswall::execution {

/// Counters of dropped stream events and of malformed streams.
struct StreamEventCounters {
  explicit StreamEventCounters(common::CounterRegistry& registry);
  common::Counter& late;           ///< events received after the attempt ended
  common::Counter& wrong_attempt;  ///< events that carry another attempt's number
  common::Counter& duplicate;      ///< tokens or heads that were already forwarded
  common::Counter& gap;            ///< attempts failed because a token index was skipped
  common::Counter& truncated;      ///< attempts failed because the stream ended early
};

/// Forwards the response head, the tokens (in order, each once) and the final status of one attempt
/// to its listener. Events that carry another attempt's number, duplicate heads or tokens, and
/// events after the end are dropped and counted. The attempt fails if a token index is skipped or
/// the stream ends early.
class EngineAttempt final : public engines::StreamHandler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    /// Reports the engine's rate limit from the response headers, before any token.
    virtual void onAttemptRateLimit(const common::RateLimitNotice& notice) = 0;
    virtual void onAttemptHead(const engines::AnswerHead& head) = 0;
    virtual void onAttemptToken(std::uint32_t index, const std::string& text) = 0;
    virtual void onAttemptFinished(const engines::StreamUsage& usage) = 0;
    virtual void onAttemptFailed(engines::StreamFailure failure, const std::string& message) = 0;
  };

  EngineAttempt(Listener& listener, StreamEventCounters& counters);
  /// Starts the stream. Must be called once. Never calls the listener synchronously.
  void begin(engines::EngineClient& client, const engines::EngineEndpoint& engine,
             engines::StreamRequest request);
  /// Drops all further events. The stream stays open until this object is destroyed.
  void detach() { listener_ = nullptr; }
  void pause();
  void resume();

  void onRateLimit(std::uint32_t attempt, const common::RateLimitNotice& notice) override;
  void onHead(std::uint32_t attempt, const engines::AnswerHead& head) override;
  void onToken(std::uint32_t attempt, std::uint32_t index, const std::string& text) override;
  void onFinished(std::uint32_t attempt, const engines::StreamUsage& usage) override;
  void onFailed(engines::StreamFailure failure, const std::string& message) override;

 private:
  bool belongsToAttempt(std::uint32_t attempt);
  void failWith(const std::string& message);

  Listener* listener_;
  StreamEventCounters& counters_;
  std::uint32_t number_ = 0;
  std::uint32_t next_index_ = 0;
  bool head_forwarded_ = false;
  engines::StreamPhase phase_ = engines::StreamPhase::kWhole;
  std::unique_ptr<engines::Stream> stream_;
};

}  // namespace cypresswall::execution
