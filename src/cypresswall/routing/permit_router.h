/// Places requests on rate-limited engines only as far as the engines' fleet-wide rate limits
/// permit.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::routing {

/// Decorates a router. If engines of a route have a rate limit, the route is used only after a
/// permit was granted for each of them; if a permit is refused, another engine is chosen. Permits
/// for both engines of a route are acquired before anything is sent: otherwise a prompt would be
/// computed in vain if the engine for the output had no permit.
class PermitRouter final : public Router {
 public:
  /// \pre all references outlive this object
  PermitRouter(const api::ProcessContext& context, Router& router,
               fleet_limits::RateLimiter& limiter);

  RouteChoice choose(const RouteRequest& request) override { return router_.choose(request); }
  void place(const RouteRequest& request, const PlacementCallback& done) override;
  void abandonPlacement(const std::string& stream_id) override;
  bool takesWork(const engines::EngineEndpoint& engine) const override {
    return router_.takesWork(engine);
  }
  void attemptStarted(const RouteRequest& request, const Route& route) override {
    router_.attemptStarted(request, route);
  }
  void promptComputed(const std::string& stream_id) override { router_.promptComputed(stream_id); }
  void firstTokenReceived(const std::string& stream_id) override {
    router_.firstTokenReceived(stream_id);
  }
  void outputReceived(const std::string& stream_id, const OutputSample& sample) override {
    router_.outputReceived(stream_id, sample);
  }
  void answerCompleted(const std::string& stream_id) override {
    router_.answerCompleted(stream_id);
  }
  void attemptFinished(const std::string& stream_id) override {
    router_.attemptFinished(stream_id);
  }
  void attemptFailed(const std::string& stream_id, const common::EngineName& engine,
                     engines::StreamFailure failure) override {
    router_.attemptFailed(stream_id, engine, failure);
  }

 private:
  /// A request that is waiting for permits.
  struct PendingPlacement {
    std::uint64_t number = 0;
    RouteRequest request;
    PlacementCallback done;
    Route route;
    /// Engines of the route for which a permit is still needed. The permit for the last entry is
    /// requested first.
    std::vector<common::EngineName> needed;
  };

  bool limited(const Route& route) const;
  void requestPermits(const std::string& stream_id, Route route);
  void requestNextPermit(const std::string& stream_id);
  void onPermitRefused(const std::string& stream_id, const common::EngineName& engine);
  void finish(const std::string& stream_id, RouteChoice choice);

  const api::ProcessContext& context_;
  Router& router_;
  fleet_limits::RateLimiter& limiter_;
  /// By stream ID.
  std::unordered_map<std::string, PendingPlacement> pending_;
  std::uint64_t next_number_ = 1;
};

}  // namespace cypresswall::routing
