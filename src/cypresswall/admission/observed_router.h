/// Derives the amount of load shedding from the router's refusals.
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "cypresswall/admission/admission_settings.h"
#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/admission/load_probe.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::admission {

/// Load shedding of one model, measured in urgency classes: a level of 1.3 sheds all requests of
/// the lowest urgency and 30 % of the next. The level rises while the router refuses requests of
/// classes above the one that is partly shed (at level 1.3, above the second lowest), and falls
/// otherwise. The highest urgency is never shed.
class SheddingLevel {
 public:
  explicit SheddingLevel(const SheddingSettings& settings) : settings_(settings) {}
  void recordChoice(configuration::Urgency urgency, bool refused, common::MonotonicTime now);
  double admittedShare(configuration::Urgency urgency, common::MonotonicTime now) const;

 private:
  static constexpr std::size_t kClasses = 4;
  struct Count {
    std::uint32_t routed = 0;
    std::uint32_t refused = 0;
  };

  void closeWindow(common::MonotonicTime now);
  double levelAt(common::MonotonicTime now) const;
  bool overloaded() const;

  SheddingSettings settings_;
  std::array<Count, kClasses> counts_{};
  common::MonotonicTime window_start_{};
  double level_ = 0;
};

/// Decorator that forwards all calls to a router and derives a shedding level for each model from
/// the router's choices. Choices for answers that go on at another engine do not count: these are
/// no new demand, and a refusal may only mean that a slow stream stays where it is.
class ObservedRouter final : public routing::Router, public LoadProbe {
 public:
  ObservedRouter(routing::Router& router, const common::Clock& clock,
                 const SheddingSettings& settings = {});

  routing::RouteChoice choose(const routing::RouteRequest& request) override;
  void place(const routing::RouteRequest& request, const routing::PlacementCallback& done) override;
  void abandonPlacement(const std::string& stream_id) override {
    router_.abandonPlacement(stream_id);
  }
  bool takesWork(const engines::EngineEndpoint& engine) const override {
    return router_.takesWork(engine);
  }
  void attemptStarted(const routing::RouteRequest& request, const routing::Route& route) override {
    router_.attemptStarted(request, route);
  }
  void promptComputed(const std::string& stream_id) override { router_.promptComputed(stream_id); }
  void firstTokenReceived(const std::string& stream_id) override {
    router_.firstTokenReceived(stream_id);
  }
  void outputReceived(const std::string& stream_id, const routing::OutputSample& sample) override {
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

  /// Sets what is told of each choice beside the shedding level. \pre `shares` outlives this object
  void setFairShares(FairShares& shares) { fair_shares_ = &shares; }
  double admittedShare(const common::ModelName& model,
                       configuration::Urgency urgency) const override;
  common::Duration drainTime(const common::ModelName& model) const override;

 private:
  struct ModelLoad {
    SheddingLevel level;
    common::Duration last_retry_after{0};
  };

  void recordChoice(const common::ModelName& model, std::uint8_t priority,
                    const routing::RouteChoice& choice);

  routing::Router& router_;
  const common::Clock& clock_;
  const SheddingSettings settings_;
  std::map<common::ModelName, ModelLoad> models_;
  FairShares* fair_shares_ = nullptr;
};

}  // namespace cypresswall::admission
