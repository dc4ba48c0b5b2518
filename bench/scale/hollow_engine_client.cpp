#include "bench/scale/hollow_engine_client.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cypresswall::bench {
namespace {

constexpr std::uint32_t kMaximumStreams = 32;
/// How far the number of running streams moves between two reports, at most, either way.
constexpr std::uint32_t kLoadStep = 3;
constexpr std::uint64_t kPromptTokensPerStream = 1500;
constexpr std::uint64_t kOutputTokensPerStream = 200;
/// Cache events that one engine makes between two reads: 23,000 GB of KV cache a second over 11,000
/// engines, in pieces of 2,000 tokens at 128 KiB a token, is 8 pieces a second and engine.
constexpr std::uint64_t kCacheEventsPerRead = 4;
constexpr std::uint32_t kCachePieces = 256;

/// Refuses at once.
class RefusedStream final : public engines::Stream {
 public:
  RefusedStream(common::Scheduler& scheduler, engines::StreamHandler& handler)
      : scheduler_(scheduler), timer_(scheduler.schedule(common::Duration(0), [&handler] {
          handler.onFailed(engines::StreamFailure::kRefused, "hollow engine");
        })) {}
  ~RefusedStream() override { scheduler_.cancel(timer_); }
  void pause() override {}
  void resume() override {}

 private:
  common::Scheduler& scheduler_;
  common::TimerId timer_;
};

}  // namespace

HollowEngineClient::HollowEngineClient(common::Scheduler& scheduler, common::RandomSource& random,
                                       std::uint32_t models)
    : scheduler_(scheduler), random_(random), models_(models) {}

HollowEngineClient::HollowEngine& HollowEngineClient::find(const common::EngineName& name) {
  HollowEngine& engine = engines_[name];
  if (engine.load.incarnation == 0) {
    engine.load.incarnation = random_.next() | 1U;
    engine.load.maximum_streams = kMaximumStreams;
    engine.load.cache_pieces_total = kCachePieces;
    engine.load.running_streams = static_cast<std::uint32_t>(random_.below(kMaximumStreams));
    engine.load.prefill_tokens_per_second = 16000;
    engine.load.decode_step_base = std::chrono::milliseconds(12);
    engine.load.decode_step_per_stream = std::chrono::microseconds(400);
    const auto number = std::stoul(name.substr(name.rfind('-') + 1));
    engine.load.model = "model-" + std::to_string(number % models_);
    engine.load.version = std::string("1");
  }
  return engine;
}

std::unique_ptr<engines::Stream> HollowEngineClient::startStream(const engines::EngineEndpoint&,
                                                                 engines::StreamRequest,
                                                                 engines::StreamHandler& handler) {
  return std::make_unique<RefusedStream>(scheduler_, handler);
}

void HollowEngineClient::sendOrder(const engines::EngineEndpoint& engine,
                                   const engines::EngineOrder& order,
                                   engines::EngineCallback<engines::OrderReply> callback) {
  engines::EngineLoad& load = find(engine.name).load;
  load.highest_epoch = order.epoch;
  load.last_sequence = order.sequence;
  if (order.content.kind == engines::OrderKind::kChangeRole) {
    load.role = order.content.role;
  }
  engines::OrderReply reply;
  reply.highest_epoch = order.epoch;
  reply.last_sequence = order.sequence;
  scheduler_.schedule(common::Duration(0),
                      [callback = std::move(callback), reply] { callback(reply); });
}

void HollowEngineClient::fetchLoad(const engines::EngineEndpoint& engine,
                                   engines::EngineCallback<engines::EngineLoad> callback) {
  engines::EngineLoad& load = find(engine.name).load;
  const auto change = static_cast<std::uint32_t>(random_.below(2 * kLoadStep + 1));
  const std::uint32_t raised = load.running_streams + change;
  load.running_streams = raised < kLoadStep ? 0 : std::min(raised - kLoadStep, kMaximumStreams);
  load.queued_prefill_tokens = random_.below(4) * kPromptTokensPerStream;
  load.queued_decode_tokens = load.running_streams * kOutputTokensPerStream;
  scheduler_.schedule(common::Duration(0),
                      [callback = std::move(callback), load] { callback(load); });
}

void HollowEngineClient::fetchCacheEvents(const engines::EngineEndpoint& engine,
                                          std::uint64_t after,
                                          engines::EngineCallback<engines::CacheEvents> callback) {
  HollowEngine& hollow = find(engine.name);
  engines::CacheEvents events;
  events.incarnation = hollow.load.incarnation;
  hollow.cache_sequence = std::max(hollow.cache_sequence, after);
  for (std::uint64_t i = 0; i < kCacheEventsPerRead; ++i) {
    engines::CacheEvent event;
    event.sequence = ++hollow.cache_sequence;
    event.piece = random_.next();
    events.events.push_back(event);
  }
  events.last_sequence = hollow.cache_sequence;
  scheduler_.schedule(common::Duration(0), [callback = std::move(callback),
                                            events = std::move(events)] { callback(events); });
}

}  // namespace cypresswall::bench
