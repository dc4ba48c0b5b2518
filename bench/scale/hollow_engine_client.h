/// Engines without processes, for scale runs: they answer load reports that keep changing, refuse
/// streams and accept every order.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_client.h"

namespace cypresswall::bench {

/// All hollow engines of one process. Answers come on the next turn of the event loop.
class HollowEngineClient final : public engines::EngineClient {
 public:
  /// \param models an engine whose name ends in "-N" serves "model-M", M being N modulo `models`
  HollowEngineClient(common::Scheduler& scheduler, common::RandomSource& random,
                     std::uint32_t models);

  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint& engine,
                                               engines::StreamRequest request,
                                               engines::StreamHandler& handler) override;
  void sendOrder(const engines::EngineEndpoint& engine, const engines::EngineOrder& order,
                 engines::EngineCallback<engines::OrderReply> callback) override;
  void fetchLoad(const engines::EngineEndpoint& engine,
                 engines::EngineCallback<engines::EngineLoad> callback) override;
  void fetchCacheEvents(const engines::EngineEndpoint& engine, std::uint64_t after,
                        engines::EngineCallback<engines::CacheEvents> callback) override;

 private:
  /// What one hollow engine remembers.
  struct HollowEngine {
    engines::EngineLoad load;
    std::uint64_t cache_sequence = 0;
  };

  HollowEngine& find(const common::EngineName& name);

  common::Scheduler& scheduler_;
  common::RandomSource& random_;
  std::uint32_t models_;
  std::map<common::EngineName, HollowEngine> engines_;
};

}  // namespace cypresswall::bench
