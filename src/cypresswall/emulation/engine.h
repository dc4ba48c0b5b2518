/// Emulated model engine: continuous batching with a cost model of prefill and decode, a prefix
/// cache, fenced orders, changes during which the engine is unavailable, and faults. The emulation
/// does no I/O and schedules one event per step of the engine, however many streams run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/emulation/answer.h"
#include "cypresswall/emulation/engine_ledger.h"
#include "cypresswall/emulation/engine_settings.h"
#include "cypresswall/emulation/load_history.h"
#include "cypresswall/emulation/order_fence.h"
#include "cypresswall/emulation/prefix_cache.h"
#include "cypresswall/emulation/weight_source.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// Receives the output of one stream. The last call is either onFinished or onBroken. The engine
/// makes no calls before startStream() has returned or after cancelStream().
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  /// \param index position in the whole answer, from 0
  virtual void onToken(std::uint32_t index, const std::string& text) = 0;
  virtual void onFinished(const engines::StreamUsage& usage) = 0;
  /// The engine terminated the stream before the answer was complete.
  virtual void onBroken() = 0;
};

/// Size of the KV cache of one computed prompt, for transfer to another engine.
struct KvExport {
  std::uint32_t tokens = 0;
  std::uint64_t bytes = 0;
};

/// Fetches KV cache from other engines.
class KvPeer {
 public:
  virtual ~KvPeer() = default;
  /// Calls exportKv() of the engine at `source`. The callback is called exactly once, never before
  /// the call returns, with nullopt if the engine can't be reached or doesn't hold that cache.
  virtual void fetchKv(const common::Address& source, const std::string& stream_id,
                       std::function<void(std::optional<KvExport>)> callback) = 0;
};

enum class StartResult : std::uint8_t {
  kStarted,
  kRefused,      ///< the stream was not started; `message` holds the reason
  kUnreachable,  ///< the engine is down
};

struct StreamStart {
  StartResult result = StartResult::kStarted;
  std::string message;
};

class EmulatedEngine {
 public:
  /// \param weights may be null: weights are then available immediately
  /// \param kv_peer may be null: KV imports then fail
  EmulatedEngine(EngineSettings settings, const common::Clock& clock, common::Scheduler& scheduler,
                 common::RandomSource& random, WeightSource* weights, KvPeer* kv_peer);
  ~EmulatedEngine();
  EmulatedEngine(const EmulatedEngine&) = delete;
  EmulatedEngine& operator=(const EmulatedEngine&) = delete;

  /// Starts a stream; `observer` must live until its last call or cancelStream(). Only the shape of
  /// the prompt is used, so its text may be empty.
  StreamStart startStream(engines::StreamRequest request, StreamObserver& observer);
  /// Cancels a stream; an unknown stream is ignored.
  void cancelStream(const std::string& stream_id, std::uint32_t attempt);
  /// \return nothing if the engine is down.
  std::optional<engines::OrderReply> handleOrder(const engines::EngineOrder& order);
  /// \return the load report, which describes the state EngineFaults::load_lag ago; nullopt if the
  ///   engine is down.
  std::optional<engines::EngineLoad> load() const;
  /// \return nothing if the engine is down.
  std::optional<engines::CacheEvents> cacheEvents(std::uint64_t after) const;
  /// Drops the KV cache retained for `stream_id`.
  /// \return the size of that cache; nullopt if the engine holds none
  std::optional<KvExport> exportKv(const std::string& stream_id);

  /// Breaks all streams. The engine stays down for EngineSettings::restart_time, and then starts
  /// with a new incarnation. Faults set with setFaults() remain set.
  void crash();
  void setFaults(const EngineFaults& faults);
  const EngineFaults& faults() const { return faults_; }
  /// Calls `listener` after each step that produced tokens, so that all tokens of a step can be
  /// sent together.
  void onStepEnd(std::function<void()> listener) { step_listener_ = std::move(listener); }

  /// \return the load now, unaffected by EngineFaults::load_lag. For tests and offline planners
  ///   only.
  engines::EngineLoad currentLoad() const;
  bool down() const { return down_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const EngineLedger& ledger() const { return ledger_; }
  const PrefixCache& cache() const { return cache_; }
  const EngineSettings& settings() const { return settings_; }

 private:
  enum class Stage : std::uint8_t { kImporting, kWaiting, kPrefill, kDecode, kEnded };
  struct ActiveStream;
  using StreamKey = std::pair<std::string, std::uint32_t>;
  /// Priority and arrival number: waiting streams are ordered by priority, then by arrival.
  using WaitingKey = std::pair<int, std::uint64_t>;
  using StreamPointer = std::shared_ptr<ActiveStream>;
  struct RetainedKv {
    std::uint32_t tokens = 0;
    common::MonotonicTime expires_at;
  };
  /// The part of a prompt that is computed in one step.
  struct PrefillChunk {
    ActiveStream* stream = nullptr;
    std::uint32_t tokens = 0;
  };

  std::string rejectionReason(const engines::StreamRequest& request) const;
  bool roleAccepts(engines::StreamPhase phase) const;
  void importKv(const StreamPointer& stream);
  void kvImportCompleted(const StreamPointer& stream, const KvExport& kv);
  void enqueue(const StreamPointer& stream);

  void beginStep();
  void admitWaiting();
  void admit(const StreamPointer& stream);
  std::uint32_t planPrefill(std::uint32_t decoding);
  std::uint32_t planDecodeSteps(std::uint32_t decoding, std::uint32_t prefill_tokens) const;
  common::Duration stepDuration(std::uint32_t decoding, std::uint32_t prefill_tokens) const;
  double prefillSpeed(bool decoding) const;
  void finishStep();
  void finishPrefills();
  void decodeStreams();
  /// \return true if the engine's faults make it crash on the first token of such a prompt
  bool crashesOn(const common::PromptShape& prompt) const;
  void emitToken(ActiveStream& stream);
  void finishStream(ActiveStream& stream);
  void breakStream(ActiveStream& stream);
  void endStream(ActiveStream& stream, StreamEnd end);
  void breakAllStreams(StreamEnd end);
  void removeEnded();
  bool idle() const { return streams_.empty(); }

  void beginChange(const engines::OrderContent& content);
  void fetchWeights();
  void weightsFetched(std::uint64_t change, const WeightTransfer& transfer);
  void becomeUnavailable(common::Duration duration);
  void finishChange();
  bool alreadyInEffect(const engines::OrderContent& content) const;
  bool makesUnavailable(const engines::OrderContent& content) const;
  void restart();
  void recordLoad();

  EngineSettings settings_;
  const common::Clock& clock_;
  common::Scheduler& scheduler_;
  WeightSource* weights_;
  KvPeer* kv_peer_;
  PrefixCache cache_;
  OrderFence fence_;
  EngineLedger ledger_;
  LoadHistory load_history_;
  EngineFaults faults_;
  std::function<void()> step_listener_;

  bool down_ = false;
  std::uint64_t incarnation_;
  engines::EngineRole role_;
  common::ModelName model_;
  std::string version_;
  std::vector<std::string> adapters_;

  /// The change in progress.
  std::optional<engines::OrderContent> change_;
  std::uint64_t change_number_ = 0;
  common::MonotonicTime change_started_;
  common::TimerId change_timer_ = 0;

  std::map<StreamKey, StreamPointer> streams_;
  std::map<WaitingKey, StreamPointer> waiting_;
  std::vector<StreamPointer> running_;
  /// Ended streams, kept until removeEnded() because functions further up the call stack may still
  /// reference them.
  std::vector<StreamPointer> ended_;
  std::uint64_t arrivals_ = 0;
  std::map<std::string, RetainedKv> retained_kv_;

  common::TimerId step_timer_ = 0;
  bool step_running_ = false;
  bool delivering_ = false;
  std::uint32_t decode_steps_ = 0;
  std::vector<PrefillChunk> chunks_;
  /// Callbacks hold a weak pointer to this member. It expires with the engine, and they check this
  /// before they use the engine.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cypresswall::emulation
