/// Learns how long engines actually take to compute prompts, from measured prompts.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// A computed prompt with its measured duration.
struct PromptSample {
  /// Expected seconds of computation at the engine's declared or assumed speed; positive.
  double nominal = 0;
  /// Measured seconds.
  double measured = 0;
  /// If true, `measured` counts from the sending of the prompt and so includes the fixed latency.
  /// If false, `measured` counts from the end of the previous prompt on the same engine.
  bool includes_latency = false;
};

/// Duration of a prompt: `fixed_latency` + `scale` * nominal seconds.
struct PromptSpeed {
  /// Latency of a prompt in addition to the time for which it occupies the engine, in seconds.
  double fixed_latency = 0;
  /// Factor on the nominal seconds of computation.
  double scale = 1;
};

/// Learns the fixed latency and the scale of each model by weighted least squares, and each
/// engine's own scale as a moving average that decays towards the model's. Has no clock and does no
/// I/O.
class PromptSpeedEstimator {
 public:
  explicit PromptSpeedEstimator(const PromptSpeedSettings& settings) : settings_(settings) {}

  /// \param assumed_latency prior for the fixed latency, in seconds
  /// \param now in seconds
  void add(const common::ModelName& model, EngineSlot engine, const PromptSample& sample,
           double assumed_latency, double now);
  /// Drops the scale of an engine that restarted or whose slot was reassigned.
  void forget(EngineSlot engine);
  /// \param assumed_latency as for add()
  PromptSpeed speed(const common::ModelName& model, EngineSlot engine, double assumed_latency,
                    double now) const;

 private:
  /// Sums over a model's samples, in which older samples have less weight. Each member is the sum
  /// of the product that its name spells, of f (1 if the sample includes the fixed latency, else
  /// 0), x (nominal seconds) and y (measured seconds).
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
  /// \return the weight of a sample, which decreases with its deviation from the expected value: a
  ///   prompt that was delayed, or for which fewer tokens were cached than predicted, says little
  ///   about the speed
  double weightOf(double residual, double expected) const;
  double effectiveSamples(const EngineScale& engine, double now) const;

  PromptSpeedSettings settings_;
  std::map<common::ModelName, ModelSums> models_;
  std::vector<EngineScale> engines_;
};

}  // namespace cypresswall::routing
