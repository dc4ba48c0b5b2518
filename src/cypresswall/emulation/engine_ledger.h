/// History of what an emulated engine did. Tests use it to check the guarantees of the system.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

enum class StreamEnd : std::uint8_t {
  kRunning,
  kFinished,
  kCancelled,
  kBroken,      ///< broken by a fault
  kCutByOrder,  ///< terminated by an accepted change that made the engine unavailable
  kCrashed,
};

/// \return "running", "finished", "cancelled", "broken", "cut_by_order" or "crashed".
const char* toString(StreamEnd end);

/// One stream that the engine accepted.
struct StreamEntry {
  std::string stream_id;
  std::uint32_t attempt = 0;
  std::uint64_t incarnation = 0;
  common::ModelName model;
  std::string version;
  std::string adapter;
  engines::StreamPhase phase = engines::StreamPhase::kWhole;
  std::uint32_t resume_from = 0;
  std::uint32_t tokens = 0;
  StreamEnd end = StreamEnd::kRunning;
  common::MonotonicTime started_at;
  /// PromptShape::content_hash.
  std::uint64_t content_hash = 0;
};

/// One order that the engine received.
struct OrderEntry {
  engines::EngineOrder order;
  engines::OrderVerdict verdict = engines::OrderVerdict::kAccepted;
  /// The engine's incarnation when it received the order.
  std::uint64_t incarnation = 0;
  common::MonotonicTime at;
};

struct EngineLedger {
  std::vector<StreamEntry> streams;
  std::vector<OrderEntry> orders;
  std::uint64_t streams_started = 0;
  std::uint64_t streams_refused = 0;
  std::uint64_t streams_cut_by_order = 0;
  std::uint64_t tokens = 0;
  std::uint64_t orders_received = 0;
  std::uint64_t role_changes = 0;
  std::uint64_t model_loads = 0;
  std::uint64_t crashes = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_prompt_tokens = 0;
  std::uint64_t kv_bytes_imported = 0;
  common::Duration unavailable_time{0};
};

}  // namespace cypresswall::emulation
