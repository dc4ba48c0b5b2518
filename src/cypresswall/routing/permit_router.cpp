#include "cypresswall/routing/permit_router.h"

#include <utility>

namespace cypresswall::routing {

PermitRouter::PermitRouter(const api::ProcessContext& context, Router& router,
                           fleet_limits::RateLimiter& limiter)
    : context_(context), router_(router), limiter_(limiter) {}

void PermitRouter::place(const RouteRequest& request, const PlacementCallback& done) {
  RouteChoice choice = router_.choose(request);
  auto* const route = std::get_if<Route>(&choice);
  if (route == nullptr || !limited(*route)) {
    if (route != nullptr) {
      router_.attemptStarted(request, *route);
    }
    done(std::move(choice));
    return;
  }
  PendingPlacement& pending = pending_[request.stream_id];
  pending.request = request;
  pending.done = done;
  requestPermits(std::string(request.stream_id), std::move(*route));
}

bool PermitRouter::limited(const Route& route) const {
  return limiter_.limited(route.engine.name) ||
         (route.prefill_engine && limiter_.limited(route.prefill_engine->name));
}

void PermitRouter::requestPermits(const std::string& stream_id, Route route) {
  PendingPlacement& pending = pending_.at(stream_id);
  pending.needed.clear();
  if (route.prefill_engine) {
    pending.needed.push_back(route.prefill_engine->name);
  }
  pending.needed.push_back(route.engine.name);
  pending.route = std::move(route);
  requestNextPermit(stream_id);
}

void PermitRouter::requestNextPermit(const std::string& stream_id) {
  PendingPlacement& pending = pending_.at(stream_id);
  if (pending.needed.empty()) {
    router_.attemptStarted(pending.request, pending.route);
    finish(stream_id, std::move(pending.route));
    return;
  }
  const common::EngineName engine = std::move(pending.needed.back());
  pending.needed.pop_back();
  pending.number = next_number_++;
  limiter_.acquire(engine, [this, stream_id, engine, number = pending.number](bool granted) {
    const auto found = pending_.find(stream_id);
    if (found == pending_.end() || found->second.number != number) {
      return;
    }
    if (granted) {
      requestNextPermit(stream_id);
    } else {
      onPermitRefused(stream_id, engine);
    }
  });
}

void PermitRouter::onPermitRefused(const std::string& stream_id, const common::EngineName& engine) {
  common::LogEvent(context_.log, common::LogLevel::kInfo, "permit_refused")
      .field("stream", stream_id)
      .field("server", engine);
  PendingPlacement& pending = pending_.at(stream_id);
  pending.request.excluded.push_back(engine);
  RouteChoice choice = router_.choose(pending.request);
  if (auto* const route = std::get_if<Route>(&choice)) {
    requestPermits(stream_id, std::move(*route));
  } else {
    finish(stream_id, std::move(choice));
  }
}

void PermitRouter::finish(const std::string& stream_id, RouteChoice choice) {
  auto pending = pending_.extract(stream_id);
  pending.mapped().done(std::move(choice));
}

void PermitRouter::abandonPlacement(const std::string& stream_id) {
  pending_.erase(stream_id);
  router_.abandonPlacement(stream_id);
}

}  // namespace cypresswall::routing
