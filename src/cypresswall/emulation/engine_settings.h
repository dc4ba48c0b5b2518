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

/// The cost model. One step of an engine computes a chunk of waiting prompts and one token of each
/// running stream; its time is the sum of both.
struct EngineSpeed {
  double prefill_tokens_per_second = 16000;
  /// Share of the prefill speed left while output is generated in the same steps.
  double mixed_prefill_efficiency = 0.8;
  /// Share of the prefill speed that an engine in the role "decode" has.
  double decode_role_prefill_efficiency = 0.5;
  common::Duration decode_step_base = std::chrono::milliseconds(12);
  common::Duration decode_step_per_stream = std::chrono::microseconds(400);
  /// Most prompt tokens in a step in which streams also generate output.
  std::uint32_t chunk_tokens = 512;
  /// Most prompt tokens in a step without output.
  std::uint32_t pure_prefill_chunk_tokens = 8192;
  /// Steps taken as one event while nothing else is to be done; more makes runs cheaper and
  /// tokens come in groups.
  std::uint32_t steps_per_event = 1;
  /// Transfer of KV cache between engines.
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
  /// Streams beyond this many waiting ones are refused.
  std::uint32_t maximum_waiting = 1024;
  std::uint32_t cache_pieces = 256;
  /// Away for a change of role.
  common::Duration role_change_time = std::chrono::seconds(4);
  /// Away for a model load after the weights have arrived.
  common::Duration model_load_time = std::chrono::seconds(3);
  common::Duration adapter_load_time = std::chrono::milliseconds(500);
  /// From a crash until the engine answers again.
  common::Duration restart_time = std::chrono::seconds(5);
  /// How long the KV cache of a "prefill" stream is kept for export.
  common::Duration kv_retention_time = std::chrono::seconds(30);
  /// Shortest answer as a share of the maximum asked for; 1 makes each answer as long as asked.
  double minimum_answer_share = 1.0;
  /// Incarnation of the first life.
  std::uint64_t incarnation = 1;
  /// Entries that each part of the ledger keeps; later ones are counted but not kept.
  std::size_t ledger_limit = 1'000'000;
};

/// Faults that can be switched while an engine runs.
struct EngineFaults {
  /// Crash halfway through the next change; cleared when it happened.
  bool crash_in_next_change = false;
  /// Load reports describe the engine this long ago.
  common::Duration load_lag{0};
  CacheEventFaults cache_events;
  /// Break the next stream that has given this many tokens; zero for none, cleared when it
  /// happened.
  std::uint32_t break_stream_after_tokens = 0;
  /// Refuse new streams.
  bool refuse = false;
  /// Of ten streams taken in a row, how many break in place of their first token, though load
  /// reports look well.
  std::uint32_t failures_per_ten_streams = 0;
  /// The engine crashes in place of the first token of a stream with this
  /// PromptShape::content_hash; zero for none.
  std::uint64_t crash_on_content_hash = 0;
  /// Requests a second that the engine says in its answers it takes from all nodes; it runs
  /// whatever comes.
  std::optional<double> rate_limit = {};
};

}  // namespace cypresswall::emulation
