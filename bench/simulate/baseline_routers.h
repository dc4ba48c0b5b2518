/// Baseline routers for comparison with the cost-based router. They never refuse requests for load.
#pragma once

#include <map>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::bench {

/// Common part of the baselines: selection of candidate engines and creation of routes.
class BaselineRouter : public routing::Router {
 public:
  explicit BaselineRouter(routing::EngineDirectory& directory) : directory_(directory) {}

  routing::RouteChoice choose(const routing::RouteRequest& request) override;
  bool takesWork(const engines::EngineEndpoint& engine) const override;
  void attemptStarted(const routing::RouteRequest&, const routing::Route&) override {}
  void promptComputed(const std::string&) override {}
  void firstTokenReceived(const std::string&) override {}
  void answerCompleted(const std::string&) override {}
  void attemptFinished(const std::string&) override {}
  void attemptFailed(const std::string&, const common::EngineName&,
                     engines::StreamFailure) override {}

 protected:
  /// \param engines not empty, ordered by name
  virtual routing::EngineSlot pick(const std::vector<routing::EngineSlot>& engines) = 0;
  routing::EngineTable& table() const { return directory_.table(); }

 private:
  routing::EngineDirectory& directory_;
};

/// Chooses engines round-robin.
class RoundRobinRouter final : public BaselineRouter {
 public:
  using BaselineRouter::BaselineRouter;

 protected:
  routing::EngineSlot pick(const std::vector<routing::EngineSlot>& engines) override;

 private:
  std::size_t next_ = 0;
};

/// Chooses the engine with the fewest streams: those in its last report plus those that this node
/// has started there since.
class LeastLoadedRouter final : public BaselineRouter {
 public:
  LeastLoadedRouter(const api::ProcessContext& context, routing::EngineDirectory& directory)
      : BaselineRouter(directory), context_(context) {}

  void attemptStarted(const routing::RouteRequest& request, const routing::Route& route) override;
  void answerCompleted(const std::string&) override {}
  void attemptFinished(const std::string& stream_id) override {
    started_attempts_.erase(stream_id);
  }
  void attemptFailed(const std::string& stream_id, const common::EngineName&,
                     engines::StreamFailure) override {
    started_attempts_.erase(stream_id);
  }

 protected:
  routing::EngineSlot pick(const std::vector<routing::EngineSlot>& engines) override;

 private:
  struct StartedAttempt {
    routing::EngineSlot engine = routing::kNoEngineSlot;
    common::MonotonicTime at;
  };
  std::size_t streamsOn(routing::EngineSlot engine) const;

  const api::ProcessContext& context_;
  /// Attempts in flight, by stream id.
  std::map<std::string, StartedAttempt> started_attempts_;
};

}  // namespace cypresswall::bench
