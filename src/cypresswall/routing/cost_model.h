/// Formulas that turn an engine's last report, and the work sent to it since, into the time that a
/// request would wait and run there.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/prompt_speed.h"

namespace cypresswall::routing {

/// What is known of one engine, in plain numbers. Times are in seconds on this node's clock.
struct EngineEstimate {
  double observed_at = 0;
  double seconds_per_prefill_token = 0;
  double decode_step_base = 0;
  double decode_step_per_stream = 0;
  double prefill_base = 0;
  double prefill_seconds_per_pair = 0;
  double queued_prefill_tokens = 0;
  double queued_decode_tokens = 0;
  /// Work sent by this node that the report can't show yet.
  double unreported_prefill_tokens = 0;
  double unreported_decode_tokens = 0;
  std::uint32_t streams = 0;
  std::uint32_t unreported_streams = 0;
  std::uint32_t maximum_streams = 0;
  /// Streams that are well into their output.
  std::uint32_t output_streams = 0;
  engines::EngineRole role = engines::EngineRole::kMixed;
  /// Seconds that the KV cache of a token takes to another engine; zero if not declared.
  double kv_seconds_per_token = 0;
  /// What prompts were seen to take, beside what the report promises.
  PromptSpeed prompt_speed;
  /// Factor on the reported times of a decode step.
  double step_scale = 1;
  /// Seconds for which a running stream goes on, in the mean; zero if not known.
  double stream_remaining = 0;
  /// Whether long prompts are under way to it or on it, and when they will all be computed.
  bool has_backlog = false;
  double backlog_empty_at = 0;
};

/// The part of an estimate that every choice reads, worked out when the estimate changes. One
/// cache line, so that weighing all engines of a zone stays within microseconds.
struct alignas(64) CostInputs {
  /// When the reported prompts will be computed.
  double queue_empty_at = 0;
  /// When the long prompts that all nodes sent will be computed.
  double backlog_empty_at = 0;
  /// Time that the unreported prompts take.
  double unreported_wait = 0;
  /// Time until a place for one more stream is free; zero while the engine has one.
  double slot_wait = 0;
  // Spans of time and not moments: single precision is enough.
  /// Time that a prompt takes beside its computation, without occupying the engine.
  float prefill_fixed_latency = 0;
  float seconds_per_prefill_token = 0;
  float prefill_seconds_per_pair = 0;
  /// Time of one decode step with one more stream.
  float step = 0;
  /// Time of a decode step with a single stream, with some slack.
  float relaxed_single_stream_step = 0;
  /// As in EngineEstimate.
  float kv_seconds_per_token = 0;
  engines::EngineRole role = engines::EngineRole::kMixed;
  bool has_backlog = false;
};

/// \return `time` as used in EngineEstimate.
inline double toModelTime(common::MonotonicTime time) {
  return common::toSeconds(time.time_since_epoch());
}

/// Rebuilds the reported part of an estimate; the unreported part stays.
void applyReport(EngineEstimate& estimate, const engines::EngineLoad& load,
                 common::MonotonicTime observed_at);

/// \return seconds of a decode step with so many streams
inline double stepSeconds(const EngineEstimate& engine, double streams) {
  return engine.step_scale * (engine.decode_step_base + engine.decode_step_per_stream * streams);
}

/// \return streams that the engine has now, as far as known.
inline std::uint32_t streamsOn(const EngineEstimate& engine) {
  return engine.streams + engine.unreported_streams;
}

/// \param chunks_per_token inverse of the prompt tokens that are computed in one step beside the
///   output of running streams
CostInputs costInputs(const EngineEstimate& engine, double chunks_per_token);

/// Estimates of all engines by slot, with the inputs that follow from them.
class EstimateTable {
 public:
  explicit EstimateTable(double prefill_chunk_tokens)
      : chunks_per_token_(1.0 / prefill_chunk_tokens) {}

  /// Makes room for `slot`.
  void reserve(EngineSlot slot);
  /// \return the estimate for changing; call refresh() afterwards.
  EngineEstimate& edit(EngineSlot slot) { return estimates_[slot]; }
  /// Works the inputs of an engine out anew.
  void refresh(EngineSlot slot) {
    ++refreshed_;
    inputs_[slot] = costInputs(estimates_[slot], chunks_per_token_);
  }
  /// \return how often inputs were worked out anew, of all engines together.
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
