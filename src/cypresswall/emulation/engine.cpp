#include "cypresswall/emulation/engine.h"

#include <algorithm>
#include <utility>

#include "cypresswall/emulation/engine_stream.h"

namespace cypresswall::emulation {
namespace {

/// Number of consecutive streams of which EngineFaults::failures_per_ten_streams break.
constexpr std::uint64_t kStreamsPerFailureGroup = 10;

}  // namespace

using engines::StreamPhase;

const char* toString(StreamEnd end) {
  switch (end) {
    case StreamEnd::kRunning:
      return "running";
    case StreamEnd::kFinished:
      return "finished";
    case StreamEnd::kCancelled:
      return "cancelled";
    case StreamEnd::kBroken:
      return "broken";
    case StreamEnd::kCutByOrder:
      return "cut_by_order";
    case StreamEnd::kCrashed:
      return "crashed";
  }
  return "unknown";
}

EmulatedEngine::EmulatedEngine(EngineSettings settings, const common::Clock& clock,
                               common::Scheduler& scheduler, common::RandomSource& random,
                               WeightSource* weights, KvPeer* kv_peer)
    : settings_(std::move(settings)),
      clock_(clock),
      scheduler_(scheduler),
      weights_(weights),
      kv_peer_(kv_peer),
      cache_(settings_.cache_pieces, clock, random),
      incarnation_(settings_.incarnation),
      role_(settings_.role),
      model_(settings_.model),
      version_(settings_.version),
      adapters_(settings_.adapters) {}

EmulatedEngine::~EmulatedEngine() {
  *alive_ = false;
  scheduler_.cancel(step_timer_);
  scheduler_.cancel(change_timer_);
}

StreamStart EmulatedEngine::startStream(engines::StreamRequest request, StreamObserver& observer) {
  if (down_) {
    return {StartResult::kUnreachable, "engine is down"};
  }
  const std::string reason = rejectionReason(request);
  if (!reason.empty()) {
    ++ledger_.streams_refused;
    return {StartResult::kRefused, reason};
  }
  auto stream = std::make_shared<ActiveStream>();
  stream->observer = &observer;
  stream->arrival = ++arrivals_;
  stream->fails = stream->arrival % kStreamsPerFailureGroup < faults_.failures_per_ten_streams;
  stream->seed =
      answerSeed(model_, version_, request.adapter, request.shape.content_hash, settings_.build);
  stream->answer_length =
      expectedLength(stream->seed, request.maximum_tokens, settings_.minimum_answer_share);
  stream->next_index = std::min(request.resume_from, stream->answer_length);
  request.prompt.clear();
  request.prompt.shrink_to_fit();
  stream->request = std::move(request);
  const engines::StreamRequest& kept = stream->request;
  streams_[{kept.stream_id, kept.attempt}] = stream;
  ++ledger_.streams_started;
  stream->ledger_index = settings_.ledger_limit;
  if (ledger_.streams.size() < settings_.ledger_limit) {
    stream->ledger_index = ledger_.streams.size();
    ledger_.streams.push_back({kept.stream_id, kept.attempt, incarnation_, model_, version_,
                               kept.adapter, kept.phase, kept.resume_from, 0, StreamEnd::kRunning,
                               clock_.now(), kept.shape.content_hash});
  }
  if (kept.phase == StreamPhase::kDecodeOnly && !kept.kv_source.empty() && kv_peer_ != nullptr) {
    importKv(stream);
  } else {
    enqueue(stream);
  }
  return {};
}

std::string EmulatedEngine::rejectionReason(const engines::StreamRequest& request) const {
  if (faults_.refuse) {
    return "engine refuses streams";
  }
  if (change_ && makesUnavailable(*change_)) {
    return "engine is changing";
  }
  if (request.model != model_ || (!request.version.empty() && request.version != version_)) {
    return "engine serves " + model_ + " " + version_;
  }
  if (!request.adapter.empty() &&
      std::find(adapters_.begin(), adapters_.end(), request.adapter) == adapters_.end()) {
    return "adapter is not loaded";
  }
  if (!roleAccepts(request.phase)) {
    return std::string("engine is in the role ") + engines::toString(role_);
  }
  if (waiting_.size() >= settings_.maximum_waiting) {
    return "queue is full";
  }
  if (streams_.count({request.stream_id, request.attempt}) != 0) {
    return "the attempt already runs";
  }
  return {};
}

bool EmulatedEngine::roleAccepts(StreamPhase phase) const {
  switch (role_) {
    case engines::EngineRole::kMixed:
      return true;
    case engines::EngineRole::kPrefill:
      return phase == StreamPhase::kPrefillOnly;
    case engines::EngineRole::kDecode:
      return phase != StreamPhase::kPrefillOnly;
  }
  return false;
}

void EmulatedEngine::cancelStream(const std::string& stream_id, std::uint32_t attempt) {
  const auto found = streams_.find({stream_id, attempt});
  if (found == streams_.end()) {
    return;
  }
  const StreamPointer stream = found->second;
  endStream(*stream, StreamEnd::kCancelled);
  removeEnded();
  recordLoad();
}

void EmulatedEngine::importKv(const StreamPointer& stream) {
  stream->stage = Stage::kImporting;
  kv_peer_->fetchKv(stream->request.kv_source, stream->request.stream_id,
                    [this, alive = alive_, stream](const std::optional<KvExport>& kv) {
                      if (!*alive || stream->stage == Stage::kEnded) {
                        return;
                      }
                      if (!kv) {
                        enqueue(stream);
                        return;
                      }
                      const auto transfer = common::fromSeconds(
                          static_cast<double>(kv->bytes) / settings_.speed.kv_bytes_per_second);
                      scheduler_.schedule(transfer, [this, alive, stream, kv = *kv] {
                        if (*alive && stream->stage == Stage::kImporting) {
                          kvImportCompleted(stream, kv);
                        }
                      });
                    });
}

void EmulatedEngine::kvImportCompleted(const StreamPointer& stream, const KvExport& kv) {
  stream->imported_tokens = kv.tokens;
  ledger_.kv_bytes_imported += kv.bytes;
  enqueue(stream);
}

void EmulatedEngine::enqueue(const StreamPointer& stream) {
  stream->stage = Stage::kWaiting;
  waiting_[{-static_cast<int>(stream->request.priority), stream->arrival}] = stream;
  if (!step_running_) {
    // The step begins in a separate event, so that streams that arrive at the same time are in one
    // batch.
    step_running_ = true;
    step_timer_ = scheduler_.schedule(common::Duration{0}, [this] { beginStep(); });
  }
  recordLoad();
}

std::optional<KvExport> EmulatedEngine::exportKv(const std::string& stream_id) {
  const auto kept = retained_kv_.find(stream_id);
  if (down_ || kept == retained_kv_.end()) {
    return std::nullopt;
  }
  const RetainedKv kv = kept->second;
  retained_kv_.erase(kept);
  if (kv.expires_at <= clock_.now()) {
    return std::nullopt;
  }
  return KvExport{kv.tokens, kv.tokens * settings_.speed.kv_bytes_per_token};
}

std::optional<engines::EngineLoad> EmulatedEngine::load() const {
  if (down_) {
    return std::nullopt;
  }
  const engines::EngineLoad* lagged = nullptr;
  if (faults_.load_lag > common::Duration{0}) {
    lagged = load_history_.at(clock_.now() - faults_.load_lag);
  }
  engines::EngineLoad report = lagged == nullptr ? currentLoad() : *lagged;
  report.age = lagged == nullptr ? common::Duration{0} : faults_.load_lag;
  return report;
}

engines::EngineLoad EmulatedEngine::currentLoad() const {
  engines::EngineLoad report;
  report.incarnation = incarnation_;
  const bool away = change_ && makesUnavailable(*change_);
  report.state = down_  ? engines::EngineState::kFailed
                 : away ? engines::EngineState::kChanging
                        : engines::EngineState::kReady;
  report.role = role_;
  report.model = model_;
  report.version = version_;
  report.adapters = adapters_;
  report.running_streams = static_cast<std::uint32_t>(running_.size());
  report.waiting_streams = static_cast<std::uint32_t>(streams_.size() - running_.size());
  report.maximum_streams = settings_.maximum_streams;
  for (const auto& [key, stream] : streams_) {
    const bool queued = stream->stage == Stage::kWaiting && stream->imported_tokens == 0;
    report.queued_prefill_tokens +=
        queued ? stream->request.shape.tokens : stream->prefill_remaining;
    if (stream->request.phase != StreamPhase::kPrefillOnly) {
      report.queued_decode_tokens += stream->request.maximum_tokens -
                                     std::min(stream->next_index, stream->request.maximum_tokens);
    }
  }
  report.cache_pieces_used = cache_.size();
  report.cache_pieces_total = cache_.capacity();
  report.highest_epoch = fence_.highestEpoch();
  report.last_sequence = fence_.lastSequence();
  report.order_in_progress = change_.has_value();
  report.prefill_tokens_per_second = prefillSpeed(role_ == engines::EngineRole::kMixed);
  report.decode_step_base = settings_.speed.decode_step_base;
  report.decode_step_per_stream = settings_.speed.decode_step_per_stream;
  return report;
}

std::optional<engines::CacheEvents> EmulatedEngine::cacheEvents(std::uint64_t after) const {
  if (down_) {
    return std::nullopt;
  }
  engines::CacheEvents events = cache_.eventsAfter(after);
  events.incarnation = incarnation_;
  return events;
}

void EmulatedEngine::recordLoad() {
  if (faults_.load_lag <= common::Duration{0}) {
    return;
  }
  const common::MonotonicTime now = clock_.now();
  // While streams run, one report per interval is enough. The load of an engine that becomes idle
  // or is changing is always recorded.
  if (load_history_.startsInterval(now) || streams_.empty() || change_) {
    load_history_.record(now, currentLoad());
    load_history_.dropBefore(now - faults_.load_lag);
  }
}

}  // namespace cypresswall::emulation
