#include "cypresswall/routing/cost_model.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::routing {
namespace {

/// Prompt speed assumed for an engine that declares none.
constexpr double kDefaultPrefillTokensPerSecond = 5000;
/// Least time between tokens whose logarithm is taken.
constexpr double kMinimumBetweenTokens = 1e-6;
/// Factor on the duration of a single-stream step for CostInputs::relaxed_single_stream_step.
constexpr double kSingleStreamStepSlack = 1.25;

/// \return seconds that a prompt token takes. While streams run, each chunk of a prompt is computed
///   in a step that also generates one token of every stream, so the duration `step` is added per
///   chunk.
double secondsPerPrefillToken(const EngineEstimate& engine, double step, double chunks_per_token) {
  const bool shared = engine.role != engines::EngineRole::kPrefill && streamsOn(engine) > 0;
  const double promised =
      engine.seconds_per_prefill_token + (shared ? step * chunks_per_token : 0.0);
  return promised * engine.prompt_speed.scale;
}

double streamRemaining(const EngineEstimate& engine, double step) {
  if (engine.stream_remaining > 0) {
    return engine.stream_remaining;
  }
  const double decode_tokens = engine.queued_decode_tokens + engine.unreported_decode_tokens;
  return decode_tokens / std::max<double>(streamsOn(engine), 1.0) * step;
}

double slotWait(const EngineEstimate& engine, double step) {
  const std::uint32_t streams = streamsOn(engine);
  if (engine.maximum_streams == 0 || streams < engine.maximum_streams) {
    return 0;
  }
  const double remaining = streamRemaining(engine, step);
  const double places_needed = streams - engine.maximum_streams + 1.0;
  // Assumes that the ends of running streams are spread evenly over their remaining time.
  return remaining * places_needed / engine.maximum_streams;
}

/// \return seconds between two tokens that a caller receives, with `streams` streams
double betweenTokens(const EngineEstimate& engine, double streams) {
  return stepSeconds(engine, streams) * engine.tokens_per_delivery;
}

}  // namespace

void applyReport(EngineEstimate& estimate, const engines::EngineLoad& load,
                 common::MonotonicTime observed_at) {
  const double speed = load.prefill_tokens_per_second > 0 ? load.prefill_tokens_per_second
                                                          : kDefaultPrefillTokensPerSecond;
  estimate.observed_at = toModelTime(observed_at);
  estimate.seconds_per_prefill_token = 1.0 / speed;
  estimate.decode_step_base = common::toSeconds(load.decode_step_base);
  estimate.decode_step_per_stream = common::toSeconds(load.decode_step_per_stream);
  estimate.prefill_base = common::toSeconds(load.prefill_base);
  estimate.prefill_seconds_per_pair = load.prefill_seconds_per_pair;
  estimate.kv_seconds_per_token = load.kv_seconds_per_token;
  estimate.queued_prefill_tokens = static_cast<double>(load.queued_prefill_tokens);
  estimate.queued_decode_tokens = static_cast<double>(load.queued_decode_tokens);
  estimate.streams = load.running_streams + load.waiting_streams;
  estimate.maximum_streams = load.maximum_streams;
  estimate.output_streams = load.output_streams.value_or(load.running_streams);
  estimate.role = load.role;
}

CostInputs costInputs(const EngineEstimate& engine, double chunks_per_token) {
  CostInputs inputs;
  const double step = stepSeconds(engine, streamsOn(engine) + 1.0);
  const double per_token = secondsPerPrefillToken(engine, step, chunks_per_token);
  inputs.step = static_cast<float>(step);
  inputs.prefill_fixed_latency = static_cast<float>(engine.prompt_speed.fixed_latency);
  inputs.seconds_per_prefill_token = static_cast<float>(per_token);
  inputs.prefill_seconds_per_pair =
      static_cast<float>(engine.prefill_seconds_per_pair * engine.prompt_speed.scale);
  inputs.kv_seconds_per_token = static_cast<float>(engine.kv_seconds_per_token);
  inputs.queue_empty_at = engine.observed_at + engine.queued_prefill_tokens * per_token;
  inputs.unreported_wait = engine.unreported_prefill_tokens * per_token;
  inputs.slot_wait = slotWait(engine, step);
  inputs.relaxed_single_stream_step =
      static_cast<float>(betweenTokens(engine, 1.0) * kSingleStreamStepSlack);
  inputs.role = engine.role;
  inputs.has_backlog = engine.has_backlog;
  inputs.backlog_empty_at = engine.backlog_empty_at;
  const double streams = streamsOn(engine);
  inputs.full = engine.maximum_streams > 0 && streamsOn(engine) >= engine.maximum_streams;
  inputs.streams = static_cast<float>(streams);
  const double next = betweenTokens(engine, streams + 1.0);
  inputs.between_tokens = static_cast<float>(next);
  inputs.log_between_next = static_cast<float>(std::log(std::max(next, kMinimumBetweenTokens)));
  inputs.log_between_now =
      static_cast<float>(std::log(std::max(betweenTokens(engine, streams), kMinimumBetweenTokens)));
  return inputs;
}

void EstimateTable::reserve(EngineSlot slot) {
  if (slot >= estimates_.size()) {
    estimates_.resize(static_cast<std::size_t>(slot) + 1);
    inputs_.resize(static_cast<std::size_t>(slot) + 1);
  }
}

}  // namespace cypresswall::routing
