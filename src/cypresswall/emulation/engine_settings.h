/// Speed, size and faults of an emulated engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/emulation/prefix_cache.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Cost model. One step of an engine computes a chunk of the waiting prompts and one token of each
/// running stream; its duration is the sum of both.
struct EngineSpeed {
  double prefill_tokens_per_second = 16000;
  /// Fraction of the prefill speed that remains while the same steps also generate output.
  double mixed_prefill_efficiency = 0.8;
  /// Fraction of the prefill speed available to an engine in the role "decode".
  double decode_role_prefill_efficiency = 0.5;
  common::Duration decode_step_base = std::chrono::milliseconds(12);
  common::Duration decode_step_per_stream = std::chrono::microseconds(400);
  /// Maximum number of prompt tokens in a step that also generates output.
  std::uint32_t chunk_tokens = 512;
  /// Maximum number of prompt tokens in a step without output.
  std::uint32_t pure_prefill_chunk_tokens = 8192;
  /// Steps combined into one event while there is no other work. Higher values make runs cheaper,
  /// but tokens are then emitted in groups.
  std::uint32_t steps_per_event = 1;
  /// Transfer rate of KV cache between engines.
  double kv_bytes_per_second = 5e9;
  std::uint64_t kv_bytes_per_token = 131072;
};

struct EngineSettings {
  std::string name;
  common::ModelName model;
  std::string version;
  std::vector<std::string> adapters;
  engines::EngineRole role = engines::EngineRole::kMixed;
  EngineSpeed speed;
  std::uint32_t maximum_streams = 32;
  /// New streams are refused once this many are waiting.
  std::uint32_t maximum_waiting = 1024;
  std::uint32_t cache_pieces = 256;
  /// Time for which a role change makes the engine unavailable.
  common::Duration role_change_time = std::chrono::seconds(4);
  /// Time for which a model load makes the engine unavailable after the weights have arrived.
  common::Duration model_load_time = std::chrono::seconds(3);
  common::Duration adapter_load_time = std::chrono::milliseconds(500);
  /// Time from a crash until the engine responds again.
  common::Duration restart_time = std::chrono::seconds(5);
  /// How long the KV cache of a "prefill" stream is retained for export.
  common::Duration kv_retention_time = std::chrono::seconds(30);
  /// Minimum length of an answer as a fraction of the requested maximum; 1 gives every answer the
  /// maximum length.
  double minimum_answer_share = 1.0;
  /// Incarnation before the first restart.
  std::uint64_t incarnation = 1;
  /// Maximum number of entries in each list of the ledger; later ones are only counted.
  std::size_t ledger_limit = 1'000'000;
};

/// Faults that can be changed while an engine runs.
struct EngineFaults {
  /// Crash halfway through the next change; reset once it has occurred.
  bool crash_in_next_change = false;
  /// Age of the state that load reports describe.
  common::Duration load_lag{0};
  CacheEventFaults cache_events;
  /// Break the next stream that has emitted this many tokens; zero for none, reset once it has
  /// occurred.
  std::uint32_t break_stream_after_tokens = 0;
  /// Refuse new streams.
  bool refuse = false;
  /// Of ten consecutive streams, how many break before their first token, although load reports
  /// look healthy.
  std::uint32_t failures_per_ten_streams = 0;
  /// The engine crashes instead of emitting the first token of a stream with this
  /// PromptShape::content_hash; zero for none.
  std::uint64_t crash_on_content_hash = 0;
  /// Requests per second that the engine advertises in its answers as its limit over all nodes; it
  /// does not enforce the limit.
  std::optional<double> rate_limit = {};
};

}  // namespace cypresswall::emulation
