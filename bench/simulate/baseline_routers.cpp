#include "bench/simulate/baseline_routers.h"

#include <algorithm>

namespace cypresswall::bench {
namespace {

constexpr common::Duration kRetryAfter = std::chrono::seconds(2);

}  // namespace

routing::RouteChoice BaselineRouter::choose(const routing::RouteRequest& request) {
  std::vector<routing::EngineSlot> engines =
      table().candidates(request.model, request.version, request.adapter);
  std::erase_if(engines, [&](routing::EngineSlot slot) {
    const routing::EngineRecord& record = table().record(slot);
    return record.load.role == engines::EngineRole::kPrefill ||
           std::count(request.excluded.begin(), request.excluded.end(), record.declaration.name) >
               0;
  });
  if (engines.empty()) {
    return routing::RouteRefusal{routing::RouteFailure::kOverloaded, kRetryAfter,
                                 "no engine is available", std::nullopt};
  }
  const routing::EngineRecord& record = table().record(pick(engines));
  routing::Route route;
  route.engine = record.endpoint();
  route.version = record.load.version;
  route.expected_first_token = request.first_token_limit;
  route.expected_between_tokens = request.between_tokens_limit;
  return route;
}

bool BaselineRouter::takesWork(const engines::EngineEndpoint& engine) const {
  const routing::EngineSlot slot = table().slotOf(engine.name);
  return slot != routing::kNoEngineSlot &&
         table().record(slot).availability == routing::EngineAvailability::kAvailable;
}

routing::EngineSlot RoundRobinRouter::pick(const std::vector<routing::EngineSlot>& engines) {
  return engines[next_++ % engines.size()];
}

void LeastLoadedRouter::attemptStarted(const routing::RouteRequest& request,
                                       const routing::Route& route) {
  started_attempts_[request.stream_id] = {table().slotOf(route.engine.name), context_.clock.now()};
}

std::size_t LeastLoadedRouter::streamsOn(routing::EngineSlot engine) const {
  const routing::EngineRecord& record = table().record(engine);
  const auto unreported =
      std::count_if(started_attempts_.begin(), started_attempts_.end(), [&](const auto& item) {
        return item.second.engine == engine && item.second.at > record.observed_at;
      });
  return record.load.running_streams + record.load.waiting_streams +
         static_cast<std::size_t>(unreported);
}

routing::EngineSlot LeastLoadedRouter::pick(const std::vector<routing::EngineSlot>& engines) {
  return *std::min_element(engines.begin(), engines.end(),
                           [&](routing::EngineSlot left, routing::EngineSlot right) {
                             return streamsOn(left) < streamsOn(right);
                           });
}

}  // namespace cypresswall::bench
