#include "cypresswall/execution/engine_attempt.h"

#include <utility>

namespace cypresswall::execution {
namespace {

common::Counter& droppedEvents(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_execution_stream_events_dropped_total",
                          "Stream events not passed on to the caller", "reason", reason);
}

common::Counter& brokenAttempts(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_execution_streams_broken_total",
                          "Streams whose events don't make up a whole answer", "reason", reason);
}

}  // namespace

StreamEventCounters::StreamEventCounters(common::CounterRegistry& registry)
    : late(droppedEvents(registry, "late")),
      wrong_attempt(droppedEvents(registry, "crossed")),
      duplicate(droppedEvents(registry, "doubled")),
      gap(brokenAttempts(registry, "gap")),
      truncated(brokenAttempts(registry, "short")) {}

EngineAttempt::EngineAttempt(Listener& listener, StreamEventCounters& counters)
    : listener_(&listener), counters_(counters) {}

void EngineAttempt::begin(engines::EngineClient& client, const engines::EngineEndpoint& engine,
                          engines::StreamRequest request) {
  number_ = request.attempt;
  next_index_ = request.resume_from;
  phase_ = request.phase;
  stream_ = client.startStream(engine, std::move(request), *this);
}

void EngineAttempt::pause() {
  if (stream_) {
    stream_->pause();
  }
}

void EngineAttempt::resume() {
  if (stream_) {
    stream_->resume();
  }
}

void EngineAttempt::onRateLimit(std::uint32_t attempt, const common::RateLimitNotice& notice) {
  if (belongsToAttempt(attempt)) {
    listener_->onAttemptRateLimit(notice);
  }
}

void EngineAttempt::onHead(std::uint32_t attempt, const engines::AnswerHead& head) {
  if (!belongsToAttempt(attempt)) {
    return;
  }
  if (head_forwarded_ || phase_ == engines::StreamPhase::kPrefillOnly) {
    counters_.duplicate.add();
    return;
  }
  head_forwarded_ = true;
  listener_->onAttemptHead(head);
}

void EngineAttempt::onToken(std::uint32_t attempt, std::uint32_t index, const std::string& text) {
  if (!belongsToAttempt(attempt)) {
    return;
  }
  if (index < next_index_ || phase_ == engines::StreamPhase::kPrefillOnly) {
    counters_.duplicate.add();
    return;
  }
  if (index > next_index_) {
    counters_.gap.add();
    failWith("token " + std::to_string(index) + " came in place of token " +
             std::to_string(next_index_));
    return;
  }
  ++next_index_;
  listener_->onAttemptToken(index, text);
}

void EngineAttempt::onFinished(std::uint32_t attempt, const engines::StreamUsage& usage) {
  if (!belongsToAttempt(attempt)) {
    return;
  }
  const bool complete =
      phase_ == engines::StreamPhase::kPrefillOnly || usage.output_tokens == next_index_;
  if (!complete) {
    counters_.truncated.add();
    failWith("stream of " + std::to_string(usage.output_tokens) + " tokens ended after token " +
             std::to_string(next_index_));
    return;
  }
  std::exchange(listener_, nullptr)->onAttemptFinished(usage);
}

void EngineAttempt::onFailed(engines::StreamFailure failure, const std::string& message) {
  if (listener_ == nullptr) {
    counters_.late.add();
    return;
  }
  std::exchange(listener_, nullptr)->onAttemptFailed(failure, message);
}

bool EngineAttempt::belongsToAttempt(std::uint32_t attempt) {
  if (listener_ == nullptr) {
    counters_.late.add();
    return false;
  }
  if (attempt != number_) {
    counters_.wrong_attempt.add();
    return false;
  }
  return true;
}

void EngineAttempt::failWith(const std::string& message) {
  std::exchange(listener_, nullptr)->onAttemptFailed(engines::StreamFailure::kMalformed, message);
}

}  // namespace cypresswall::execution
