/// State of one stream in an emulated engine. Internal to the engine's source files.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/emulation/engine.h"

namespace cypresswall::emulation {

struct EmulatedEngine::ActiveStream {
  /// The request, without the text of its prompt.
  engines::StreamRequest request;
  StreamObserver* observer = nullptr;
  Stage stage = Stage::kWaiting;
  std::uint64_t arrival = 0;
  AnswerSeed seed = 0;
  /// Number of tokens in the whole answer.
  std::uint32_t answer_length = 0;
  /// Index of the next token to emit.
  std::uint32_t next_index = 0;
  std::uint32_t given = 0;
  std::uint32_t prefill_remaining = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t imported_tokens = 0;
  /// True if the stream is to break instead of emitting its first token.
  bool fails = false;
  /// Index of the stream's entry in EngineLedger::streams, or EngineSettings::ledger_limit if the
  /// stream has no entry.
  std::size_t ledger_index = 0;
};

}  // namespace cypresswall::emulation
