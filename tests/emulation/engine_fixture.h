/// Emulated engines in virtual time, and observers that record the output of streams.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::emulation {

struct RecordingObserver final : StreamObserver {
  explicit RecordingObserver(const common::Clock& time) : clock(time) {}
  void onToken(std::uint32_t index, const std::string& text) override {
    if (tokens == 0) {
      first_token_at = clock.now();
    }
    in_order = in_order && index == next_index;
    ++next_index;
    ++tokens;
    answer += text;
  }
  void onFinished(const engines::StreamUsage& given) override {
    usage = given;
    finished = true;
  }
  void onBroken() override { broken = true; }

  const common::Clock& clock;
  common::MonotonicTime first_token_at{};
  std::uint32_t next_index = 0;
  std::uint32_t tokens = 0;
  bool in_order = true;
  std::string answer;
  engines::StreamUsage usage;
  bool finished = false;
  bool broken = false;
};

/// Engines that find each other for KV imports by the name in their settings.
class EngineFixture : public KvPeer {
 public:
  EmulatedEngine& addEngine(EngineSettings settings) {
    settings.model = "model";
    settings.version = "1";
    const std::string name = settings.name;
    engines_[name] =
        std::make_unique<EmulatedEngine>(std::move(settings), time, time, random, nullptr, this);
    return *engines_[name];
  }
  void fetchKv(const common::Address& source, const std::string& stream_id,
               std::function<void(std::optional<KvExport>)> callback) override {
    const auto engine = engines_.find(source);
    std::optional<KvExport> kv;
    if (engine != engines_.end()) {
      kv = engine->second->exportKv(stream_id);
    }
    time.schedule(common::Duration{1}, [kv, callback = std::move(callback)] { callback(kv); });
  }
  static engines::StreamRequest request(const std::string& id, std::uint32_t prompt_tokens,
                                        std::uint32_t maximum_tokens) {
    engines::StreamRequest request;
    request.stream_id = id;
    request.model = "model";
    request.version = "1";
    request.shape.tokens = prompt_tokens;
    request.shape.content_hash = common::hash64(id);
    request.maximum_tokens = maximum_tokens;
    return request;
  }
  static std::string answerTo(const engines::StreamRequest& request) {
    const AnswerSeed seed = answerSeed("model", "1", "", request.shape.content_hash);
    return expectedAnswer(seed, request.maximum_tokens);
  }
  static engines::EngineOrder order(std::uint32_t term, std::uint64_t sequence,
                                    engines::EngineRole role) {
    engines::EngineOrder order;
    order.epoch = {1, term};
    order.sequence = sequence;
    order.engine_incarnation = 1;
    order.content.kind = engines::OrderKind::kChangeRole;
    order.content.role = role;
    return order;
  }

  simulation::VirtualTime time;
  common::SeededRandom random{1};

 private:
  std::map<std::string, std::unique_ptr<EmulatedEngine>> engines_;
};

}  // namespace cypresswall::emulation
