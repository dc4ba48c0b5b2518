/// Formulas that turn an engine's last report, and the work sent to it since, into the time that a
/// request would wait and run there.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// What the router needs of one engine, in plain numbers and one place, so that weighing all
/// engines of a zone stays within microseconds. Times are in seconds on this node's clock.
struct EngineEstimate {
  double observed_at = 0;
  double seconds_per_prefill_token = 0;
  double decode_step_base = 0;
  double decode_step_per_stream = 0;
  double queued_prefill_tokens = 0;
  double queued_decode_tokens = 0;
  /// Work sent by this node that the report can't show yet.
  double unreported_prefill_tokens = 0;
  double unreported_decode_tokens = 0;
  std::uint32_t streams = 0;
  std::uint32_t unreported_streams = 0;
  std::uint32_t maximum_streams = 0;
  engines::EngineRole role = engines::EngineRole::kMixed;
};

/// Rebuilds the reported part of an estimate; the unreported part stays.
void applyReport(EngineEstimate& estimate, const engines::EngineLoad& load,
                 common::MonotonicTime observed_at);

/// \return `time` as used in EngineEstimate.
inline double toModelTime(common::MonotonicTime time) {
  return common::toSeconds(time.time_since_epoch());
}

/// \return streams that the engine has now, as far as known.
inline std::uint32_t streamsOn(const EngineEstimate& engine) {
  return engine.streams + engine.unreported_streams;
}

/// \return the time of one decode step with one more stream, in seconds.
inline double stepSeconds(const EngineEstimate& engine) {
  const double streams = streamsOn(engine) + 1.0;
  return engine.decode_step_base + engine.decode_step_per_stream * streams;
}

/// \return seconds for each prompt token on an engine that also generates output: while streams
///   run, each chunk of prompt shares its step with one token of every stream.
inline double wholeSecondsPerPrefillToken(const EngineEstimate& engine, double chunk_tokens) {
  if (streamsOn(engine) == 0) {
    return engine.seconds_per_prefill_token;
  }
  return engine.seconds_per_prefill_token + stepSeconds(engine) / chunk_tokens;
}

/// \return the time until prompts queued before a new one are computed, in seconds.
/// \param per_token seconds that the engine takes for each prompt token
inline double queueSeconds(const EngineEstimate& engine, double per_token, double now) {
  const double left = engine.queued_prefill_tokens * per_token - (now - engine.observed_at);
  const double waiting = left > 0 ? left : 0;
  return waiting + engine.unreported_prefill_tokens * per_token;
}

/// \return the time until a place for one more stream is free, in seconds: zero while the engine
///   has one.
double slotSeconds(const EngineEstimate& engine);

}  // namespace cypresswall::routing
