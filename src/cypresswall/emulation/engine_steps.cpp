// Steps of an emulated engine: batching, prefill and decode.
#include <algorithm>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/emulation/engine_stream.h"

namespace cypresswall::emulation {

using engines::StreamPhase;

void EmulatedEngine::beginStep() {
  step_running_ = false;
  admitWaiting();
  if (running_.empty()) {
    return;
  }
  const auto decoding = static_cast<std::uint32_t>(
      std::count_if(running_.begin(), running_.end(),
                    [](const StreamPointer& stream) { return stream->stage == Stage::kDecode; }));
  const std::uint32_t prefill_tokens = planPrefill(decoding);
  decode_steps_ = planDecodeSteps(decoding, prefill_tokens);
  step_running_ = true;
  step_timer_ =
      scheduler_.schedule(stepDuration(decoding, prefill_tokens), [this] { finishStep(); });
}

void EmulatedEngine::admitWaiting() {
  while (!waiting_.empty() && running_.size() < settings_.maximum_streams) {
    const StreamPointer stream = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    admit(stream);
  }
}

void EmulatedEngine::admit(const StreamPointer& stream) {
  const engines::StreamRequest& request = stream->request;
  const std::uint32_t needed = request.shape.tokens + request.resume_from;
  running_.push_back(stream);
  if (stream->imported_tokens > 0) {
    stream->prefill_remaining = needed - std::min(needed, stream->imported_tokens);
  } else {
    const std::uint32_t cached_pieces = cache_.touchLongestPrefix(request.shape.pieces);
    stream->cached_tokens = cached_pieces * common::kTokensPerCachePiece;
    // The last prompt token is always computed, even if it is cached, because computing it yields
    // the first output token.
    const std::uint32_t usable = needed == 0 ? 0 : needed - 1;
    stream->prefill_remaining = needed - std::min(stream->cached_tokens, usable);
    ledger_.prompt_tokens += request.shape.tokens;
    ledger_.cached_prompt_tokens += stream->cached_tokens;
  }
  stream->stage = stream->prefill_remaining > 0 ? Stage::kPrefill : Stage::kDecode;
}

std::uint32_t EmulatedEngine::planPrefill(std::uint32_t decoding) {
  chunks_.clear();
  const std::uint32_t budget =
      decoding > 0 ? settings_.speed.chunk_tokens : settings_.speed.pure_prefill_chunk_tokens;
  std::uint32_t planned = 0;
  for (const StreamPointer& stream : running_) {
    if (planned == budget) {
      break;
    }
    if (stream->stage == Stage::kPrefill) {
      const std::uint32_t tokens = std::min(stream->prefill_remaining, budget - planned);
      chunks_.push_back({stream.get(), tokens});
      planned += tokens;
    }
  }
  return planned;
}

std::uint32_t EmulatedEngine::planDecodeSteps(std::uint32_t decoding,
                                              std::uint32_t prefill_tokens) const {
  if (decoding == 0) {
    return 0;
  }
  return prefill_tokens > 0 ? 1 : std::max(settings_.speed.steps_per_event, std::uint32_t{1});
}

common::Duration EmulatedEngine::stepDuration(std::uint32_t decoding,
                                              std::uint32_t prefill_tokens) const {
  common::Duration duration{0};
  if (decoding > 0) {
    const auto steps = decode_steps_ * (settings_.speed.decode_step_base +
                                        decoding * settings_.speed.decode_step_per_stream);
    duration += faults_.decode_slowdown > 1
                    ? common::fromSeconds(common::toSeconds(steps) * faults_.decode_slowdown)
                    : steps;
  }
  duration += common::fromSeconds(prefill_tokens / prefillSpeed(decoding > 0));
  return duration;
}

double EmulatedEngine::prefillSpeed(bool decoding) const {
  double speed = settings_.speed.prefill_tokens_per_second;
  if (decoding) {
    speed *= settings_.speed.mixed_prefill_efficiency;
  }
  if (role_ == engines::EngineRole::kDecode) {
    speed *= settings_.speed.decode_role_prefill_efficiency;
  }
  return speed;
}

void EmulatedEngine::finishStep() {
  delivering_ = true;
  decodeStreams();
  finishPrefills();
  delivering_ = false;
  removeEnded();
  if (step_listener_) {
    step_listener_();
  }
  recordLoad();
  // If the listener or an observer crashed the engine in a call above, step_running_ is false and
  // no further step begins.
  if (step_running_) {
    beginStep();
  }
}

void EmulatedEngine::decodeStreams() {
  // Streams that begin to decode in this step are handled by finishPrefills().
  for (std::size_t position = 0; position < running_.size(); ++position) {
    ActiveStream& stream = *running_[position];
    for (std::uint32_t step = 0; step < decode_steps_ && stream.stage == Stage::kDecode; ++step) {
      emitToken(stream);
    }
  }
}

void EmulatedEngine::finishPrefills() {
  for (const PrefillChunk& chunk : chunks_) {
    ActiveStream& stream = *chunk.stream;
    if (stream.stage != Stage::kPrefill) {
      continue;
    }
    stream.prefill_remaining -= chunk.tokens;
    if (stream.prefill_remaining > 0) {
      continue;
    }
    if (stream.fails) {
      breakStream(stream);
      continue;
    }
    cache_.store(stream.request.shape.pieces);
    if (stream.request.phase == StreamPhase::kPrefillOnly) {
      const common::MonotonicTime now = clock_.now();
      std::erase_if(retained_kv_,
                    [now](const auto& kept) { return kept.second.expires_at <= now; });
      retained_kv_[stream.request.stream_id] = {stream.request.shape.tokens,
                                                now + settings_.kv_retention_time};
      finishStream(stream);
      continue;
    }
    stream.stage = Stage::kDecode;
    emitToken(stream);
  }
  chunks_.clear();
}

bool EmulatedEngine::crashesOn(const common::PromptShape& prompt) const {
  const bool crashing_content =
      faults_.crash_on_content_hash != 0 && prompt.content_hash == faults_.crash_on_content_hash;
  return crashing_content ||
         std::any_of(prompt.pieces.begin(), prompt.pieces.end(), [this](common::PieceHash piece) {
           return faults_.crash_on_pieces.contains(piece);
         });
}

void EmulatedEngine::emitToken(ActiveStream& stream) {
  if (stream.next_index >= stream.answer_length) {
    finishStream(stream);
    return;
  }
  const std::uint32_t given_before_crash = faults_.crashes_after_first_token ? 1 : 0;
  if (stream.given == given_before_crash && crashesOn(stream.request.shape)) {
    crash();
    return;
  }
  const std::uint32_t index = stream.next_index++;
  ++stream.given;
  ++ledger_.tokens;
  if (stream.ledger_index < ledger_.streams.size()) {
    ++ledger_.streams[stream.ledger_index].tokens;
  }
  stream.observer->onToken(index, expectedToken(stream.seed, index));
  if (stream.stage != Stage::kDecode) {
    return;
  }
  if (faults_.break_stream_after_tokens != 0 && stream.given >= faults_.break_stream_after_tokens) {
    faults_.break_stream_after_tokens = 0;
    breakStream(stream);
    return;
  }
  if (stream.next_index >= stream.answer_length) {
    finishStream(stream);
  }
}

void EmulatedEngine::finishStream(ActiveStream& stream) {
  engines::StreamUsage usage;
  usage.prompt_tokens = stream.request.shape.tokens;
  usage.cached_prompt_tokens = stream.cached_tokens;
  const bool whole = stream.request.phase != StreamPhase::kPrefillOnly;
  usage.output_tokens = whole ? stream.next_index : 0;
  usage.finish_reason =
      whole && stream.answer_length >= stream.request.maximum_tokens ? "length" : "stop";
  StreamObserver& observer = *stream.observer;
  endStream(stream, StreamEnd::kFinished);
  observer.onFinished(usage);
}

void EmulatedEngine::breakStream(ActiveStream& stream) {
  StreamObserver& observer = *stream.observer;
  endStream(stream, StreamEnd::kBroken);
  observer.onBroken();
}

void EmulatedEngine::endStream(ActiveStream& stream, StreamEnd end) {
  if (stream.ledger_index < ledger_.streams.size()) {
    ledger_.streams[stream.ledger_index].end = end;
  }
  if (stream.stage == Stage::kWaiting) {
    waiting_.erase({-static_cast<int>(stream.request.priority), stream.arrival});
  }
  if (end == StreamEnd::kCutByOrder) {
    ++ledger_.streams_cut_by_order;
  }
  stream.stage = Stage::kEnded;
  stream.prefill_remaining = 0;
  const auto own = streams_.find({stream.request.stream_id, stream.request.attempt});
  // The stream is kept until removeEnded(), since functions further up the call stack still use it.
  ended_.push_back(own->second);
  streams_.erase(own);
}

void EmulatedEngine::breakAllStreams(StreamEnd end) {
  std::vector<StreamPointer> broken;
  broken.reserve(streams_.size());
  for (const auto& [key, stream] : streams_) {
    broken.push_back(stream);
  }
  for (const StreamPointer& stream : broken) {
    if (stream->stage != Stage::kEnded) {
      endStream(*stream, end);
      stream->observer->onBroken();
    }
  }
  removeEnded();
}

void EmulatedEngine::removeEnded() {
  if (delivering_) {
    return;
  }
  std::erase_if(running_,
                [](const StreamPointer& stream) { return stream->stage == Stage::kEnded; });
  std::erase_if(chunks_,
                [](const PrefillChunk& chunk) { return chunk.stream->stage == Stage::kEnded; });
  ended_.clear();
}

}  // namespace cypresswall::emulation
