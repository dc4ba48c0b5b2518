/// Cost model: estimates how long a request would wait and run on an engine from the engine's last
/// load report and the work sent to it since.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/prompt_speed.h"

namespace cypresswall::routing {

/// Load and speed of one engine as plain numbers. Durations are in seconds; points in time are in
/// seconds on this node's clock.
struct EngineEstimate {
  double observed_at = 0;
  double seconds_per_prefill_token = 0;
  double decode_step_base = 0;
  double decode_step_per_stream = 0;
  double prefill_base = 0;
  double prefill_seconds_per_pair = 0;
  double queued_prefill_tokens = 0;
  double queued_decode_tokens = 0;
  // Work that this node sent to the engine and that the last load report does not include yet.
  double unreported_prefill_tokens = 0;
  double unreported_decode_tokens = 0;
  std::uint32_t streams = 0;
  std::uint32_t unreported_streams = 0;
  std::uint32_t maximum_streams = 0;
  /// Streams that are generating output.
  std::uint32_t output_streams = 0;
  engines::EngineRole role = engines::EngineRole::kMixed;
  /// Seconds to transfer the KV cache of one token to another engine; zero if not declared.
  double kv_seconds_per_token = 0;
  /// Correction of the reported prompt speed, learned from measured prompts.
  PromptSpeed prompt_speed;
  /// Factor on the reported durations of decode steps, learned from measured answers.
  double step_scale = 1;
  /// Mean remaining seconds of a running stream; zero if unknown.
  double stream_remaining = 0;
  /// Declared tokens per token that a caller receives, learned from measured output. The times of
  /// steps are per declared token, limits on the time between tokens per received one.
  double tokens_per_delivery = 1;
  /// Part of `step_scale` that lasts longer than a spell.
  double lasting_scale = 1;
  /// Streams in progress that this node placed on the engine; zero if not counted.
  std::uint32_t placed_streams = 0;
  /// Whether the engine was sent long prompts (see LongPromptTracker) that it has not computed yet.
  bool has_backlog = false;
  /// When the engine will have computed all of these prompts; not meaningful if there are none.
  double backlog_empty_at = 0;
};

/// The values of an estimate that every routing decision reads, precomputed when the estimate
/// changes. Fits into two cache lines, of which the choice of an engine for a prompt reads one, so
/// that all engines of a zone are evaluated in microseconds.
struct alignas(64) CostInputs {
  /// When the engine will have computed the prompts that were queued at its last load report.
  double queue_empty_at = 0;
  /// As in EngineEstimate.
  double backlog_empty_at = 0;
  /// Time to compute the prompts that the last load report does not include yet.
  double unreported_wait = 0;
  /// Expected time until a stream slot becomes free; zero if one is free.
  double slot_wait = 0;
  // The following members need only single precision, because they are not points in time.
  /// Latency of a prompt in addition to the time for which it occupies the engine.
  float prefill_fixed_latency = 0;
  float seconds_per_prefill_token = 0;
  float prefill_seconds_per_pair = 0;
  /// Duration of a decode step with one additional stream.
  float step = 0;
  /// Time between tokens with a single stream, plus some slack. Accepted even if a request's limit
  /// is lower, because the engine can't be faster.
  float relaxed_single_stream_step = 0;
  /// As in EngineEstimate.
  float kv_seconds_per_token = 0;
  engines::EngineRole role = engines::EngineRole::kMixed;
  bool has_backlog = false;
  /// All stream slots are in use.
  bool full = false;
  // Second cache line.
  /// Time between tokens with one additional stream, as callers receive them.
  float between_tokens = 0;
  /// Logarithms of the time between tokens with one additional stream, and with none.
  float log_between_next = 0;
  float log_between_now = 0;
  float streams = 0;
};

/// \return `time` in seconds on this node's clock, as used in EngineEstimate.
inline double toModelTime(common::MonotonicTime time) {
  return common::toSeconds(time.time_since_epoch());
}

/// Replaces the reported part of an estimate; the unreported part is kept.
void applyReport(EngineEstimate& estimate, const engines::EngineLoad& load,
                 common::MonotonicTime observed_at);

/// \return seconds of a decode step with `streams` streams
inline double stepSeconds(const EngineEstimate& engine, double streams) {
  return engine.step_scale * (engine.decode_step_base + engine.decode_step_per_stream * streams);
}

/// \return number of streams in the engine's last load report and of those that this node started
///   since, or of all that this node placed if these are more: a report may be older than it is
///   assumed to be, and doesn't show a stream whose prompt another engine is still computing.
inline std::uint32_t streamsOn(const EngineEstimate& engine) {
  return std::max(engine.streams + engine.unreported_streams, engine.placed_streams);
}

/// \param chunks_per_token inverse of the number of prompt tokens that an engine computes in one
///   step together with the output of running streams
CostInputs costInputs(const EngineEstimate& engine, double chunks_per_token);

/// Estimates of all engines by slot, with the cost inputs derived from them.
class EstimateTable {
 public:
  explicit EstimateTable(double prefill_chunk_tokens)
      : chunks_per_token_(1.0 / prefill_chunk_tokens) {}

  /// Ensures that the table has an entry for `slot`.
  void reserve(EngineSlot slot);
  /// \return the estimate for modification; call refresh() afterwards.
  EngineEstimate& edit(EngineSlot slot) { return estimates_[slot]; }
  /// Recomputes the cost inputs of an engine.
  void refresh(EngineSlot slot) {
    ++refreshed_;
    inputs_[slot] = costInputs(estimates_[slot], chunks_per_token_);
  }
  /// \return number of recomputations of cost inputs, over all engines.
  std::uint64_t refreshed() const { return refreshed_; }
  const EngineEstimate& estimate(EngineSlot slot) const { return estimates_[slot]; }
  const CostInputs& inputs(EngineSlot slot) const { return inputs_[slot]; }

 private:
  double chunks_per_token_;
  std::uint64_t refreshed_ = 0;
  std::vector<EngineEstimate> estimates_;
  std::vector<CostInputs> inputs_;
};

}  // namespace cypresswall::routing
