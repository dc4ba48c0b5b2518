/// How long prompts really take on engines, learnt from those that were computed.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// One computed prompt of which it is known how long its engine took.
struct PromptSample {
  /// Seconds that the engine's declared or assumed speed promises; positive.
  double nominal = 0;
  /// Seconds that it took.
  double measured = 0;
  /// `taken` was counted from the moment of sending, so that it holds the time on the way as well;
  /// otherwise from the end of the prompt before it on the same engine.
  bool includes_latency = false;
};

/// What one prompt takes: `way` + `scale` * the promised seconds.
struct PromptSpeed {
  /// Seconds that every prompt takes beside its computation, without occupying the engine.
  double fixed_latency = 0;
  /// Factor on the promised seconds.
  double scale = 1;
};

/// Learns the way and the scale of each model by weighted least squares, and each engine's own
/// scale as a moving average that fades into the model's. Pure state.
class PromptSpeedEstimator {
 public:
  explicit PromptSpeedEstimator(const PromptSpeedSettings& settings) : settings_(settings) {}

  /// \param assumed_way seconds, counted until samples tell better
  /// \param now seconds
  void add(const common::ModelName& model, EngineSlot engine, const PromptSample& sample,
           double assumed_latency, double now);
  /// The engine restarted, or the slot has another engine.
  void forget(EngineSlot engine);
  /// \param assumed_way as for add()
  PromptSpeed speed(const common::ModelName& model, EngineSlot engine, double assumed_latency,
                    double now) const;

 private:
  /// Decayed sums over samples, of f (1 with the way, else 0), x (promised) and y (taken).
  struct ModelSums {
    double ff = 0;
    double fx = 0;
    double xx = 0;
    double fy = 0;
    double xy = 0;

    PromptSpeed solve() const;
    void add(double f, double x, double y, double weight, double retention);
  };
  struct EngineScale {
    double scale = 1;
    double samples = 0;
    double updated_at = 0;
  };

  PromptSpeed modelSpeed(const common::ModelName& model, double assumed_latency) const;
  /// \return the weight of a sample, less the further it is from what was expected: a prompt that
  ///   was held up, or found less in the cache than believed, says little of the speed
  double weightOf(double residual, double expected) const;
  double effectiveSamples(const EngineScale& engine, double now) const;

  PromptSpeedSettings settings_;
  std::map<common::ModelName, ModelSums> models_;
  std::vector<EngineScale> engines_;
};

}  // namespace cypresswall::routing
