/// Speed, size and faults of an emulated engine.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/emulation/prefix_cache.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Cost model of an engine. One step computes a chunk of the waiting prompts and one token of each
/// running stream; the duration of the step is the sum of the times for both.
struct EngineSpeed {
  double prefill_tokens_per_second = 16000;
  /// Prefill speed in steps that also generate output, as a fraction of prefill_tokens_per_second.
  double mixed_prefill_efficiency = 0.8;
  /// Prefill speed of an engine in the role "decode", as a fraction of its speed in other roles.
  double decode_role_prefill_efficiency = 0.5;
  common::Duration decode_step_base = std::chrono::milliseconds(12);
  common::Duration decode_step_per_stream = std::chrono::microseconds(400);
  /// Maximum number of prompt tokens in a step that also generates output.
  std::uint32_t chunk_tokens = 512;
  /// Maximum number of prompt tokens in a step without output.
  std::uint32_t pure_prefill_chunk_tokens = 8192;
  /// Number of steps that are combined into one event while the engine only decodes. Higher values
  /// make simulated runs cheaper, but the engine then emits its tokens in groups.
  std::uint32_t steps_per_event = 1;
  /// Transfer rate of KV cache between engines.
  double kv_bytes_per_second = 5e9;
  std::uint64_t kv_bytes_per_token = 131072;
};

struct EngineSettings {
  std::string name;
  common::ModelName model;
  std::string version;
  /// Software build. Engines of different builds give different answers to the same request.
  common::BuildName build = {};
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
  /// Minimum length of an answer as a fraction of the maximum that the request sets. With 1, every
  /// answer has the maximum length.
  double minimum_answer_share = 1.0;
  /// Incarnation before the first restart.
  std::uint64_t incarnation = 1;
  /// Maximum number of entries in each list of the ledger; further streams and orders are only
  /// counted.
  std::size_t ledger_limit = 1'000'000;
};

/// Faults that can be changed while an engine runs.
struct EngineFaults {
  /// If true, the engine crashes halfway through the next change that makes it unavailable. Reset
  /// when that change begins.
  bool crash_in_next_change = false;
  /// Age of the state that a load report describes when it is read.
  common::Duration load_lag{0};
  CacheEventFaults cache_events;
  /// The next stream to reach this number of emitted tokens breaks; zero breaks none. Reset to zero
  /// once a stream has broken.
  std::uint32_t break_stream_after_tokens = 0;
  /// Factor on the duration of decode steps.
  double decode_slowdown = 1;
  /// If true, the engine refuses new streams.
  bool refuse = false;
  /// Number of streams out of ten consecutive ones that break before their first token. Load
  /// reports show no sign of this fault.
  std::uint32_t failures_per_ten_streams = 0;
  /// The engine crashes instead of emitting the first token of a stream with this
  /// PromptShape::content_hash; zero for none.
  std::uint64_t crash_on_content_hash = 0;
  /// The same for streams whose prompt contains one of these pieces.
  std::set<common::PieceHash> crash_on_pieces = {};
  /// These two crashes come instead of the second token.
  bool crashes_after_first_token = false;
  /// Limit on the requests per second of all nodes together that the engine advertises in its
  /// answers but does not enforce; none if not set.
  std::optional<double> rate_limit = {};
  /// If true, the engine announces in all answers that it leaves. It goes on serving.
  bool leaving = false;
  /// Time without requests that a refused node is asked for; none if not set.
  std::optional<common::Duration> pause = {};
};

}  // namespace cypresswall::emulation
