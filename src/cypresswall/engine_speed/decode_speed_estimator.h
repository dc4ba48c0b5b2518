/// Learns how long decode steps take: a curve over the number of streams by model, and a factor by
/// engine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engine_speed/decode_curve.h"
#include "cypresswall/engine_speed/engine_activity.h"
#include "cypresswall/engine_speed/engine_factor.h"
#include "cypresswall/engine_speed/ratio_distribution.h"
#include "cypresswall/engine_speed/settings.h"

namespace cypresswall::engine_speed {

/// Index of an engine in the caller's table; reused after an engine is gone.
using EngineIndex = std::uint32_t;

/// What the caller knows of an engine from its declaration and reports.
struct EngineFacts {
  common::EngineName name;
  std::uint64_t incarnation = 0;
  common::ModelName model;
  /// Declared or assumed step of the engine.
  DecodeCurve nominal;
  /// Streams of a full step.
  double maximum_streams = 0;
};

/// Output measured since the first token, or since the previous measurement, in seconds.
struct MeasuredOutput {
  double tokens = 0;
  double seconds = 0;
  double longest_pause = 0;
};

/// Learned speed of one engine. A "token" here is what a measured sample counts as one; an answer's
/// declared number of tokens may be a multiple of it.
struct DecodeSpeed {
  /// Curve of the model, per declared token.
  DecodeCurve curve;
  /// Factor of the engine on this curve.
  double factor = 1;
  /// Part of the factor that lasts longer than a spell.
  double lasting_factor = 1;
  /// Declared tokens per token that is delivered.
  double tokens_per_delivery = 1;
};

/// One engine for operators.
struct EngineSpeedView {
  common::EngineName engine;
  common::ModelName model;
  /// Seconds between two delivered tokens, by the model's curve.
  DecodeCurve curve;
  /// Lasting factor of the engine, and that of the current spell.
  double factor = 1;
  double spell = 1;
  double streams = 0;
  /// Expected seconds between two delivered tokens at that number of streams.
  double expected_step = 0;
  /// Decayed number of samples of the engine.
  double samples = 0;
};

/// What a model's answers show beside the curve.
struct ModelRatios {
  /// Longest pause of a stream relative to the expected time between tokens.
  RatioDistribution pauses;
  /// Duration of the output relative to the expected one.
  RatioDistribution durations;
};

/// Has no clock and does no I/O; times are in seconds on the caller's clock. The state is bounded
/// by the number of engines, models and running streams.
class DecodeSpeedEstimator {
 public:
  explicit DecodeSpeedEstimator(const EngineSpeedSettings& settings);

  /// Records an engine's report. An engine that is new under its index begins with the model's
  /// curve, or with what was restored for this incarnation of it.
  void engineReported(EngineIndex engine, const EngineFacts& facts, double now);
  /// Drops what was learned of an engine that restarted or whose index was reassigned.
  void forgetEngine(EngineIndex engine);
  void setStreams(EngineIndex engine, double streams, double now);
  /// Records that a prompt was sent that takes `seconds` to compute between the engine's steps.
  void promptSent(EngineIndex engine, double seconds);

  /// \param declared_tokens expected tokens of the answer; zero if it is too short to measure
  void streamStarted(const std::string& stream_id, EngineIndex engine, double declared_tokens,
                     double now);
  void firstToken(const std::string& stream_id, double now);
  /// \return the engine whose speed was learned, if any, otherwise kNoEngine
  EngineIndex outputMeasured(const std::string& stream_id, const MeasuredOutput& output,
                             double now);
  /// Records the end of a complete answer. \return as for outputMeasured()
  EngineIndex completed(const std::string& stream_id, double now);
  /// Drops a stream that ended, completely or not.
  void ended(const std::string& stream_id) { streams_.erase(stream_id); }

  DecodeSpeed speed(EngineIndex engine, double now) const;
  /// \return the ratios of the model, or the assumed ones if it is unknown
  const ModelRatios& ratios(const common::ModelName& model) const;
  /// \return mean seconds of the prompts that interrupt output, weighted by their duration: the
  ///   pause that a stream next to prompts meets. Zero if there were none.
  double promptPause(const common::ModelName& model) const;
  /// \return all engines that reported, in the order of their indices
  std::vector<EngineSpeedView> view(double now) const;

  /// Name of the stored state.
  static std::string name() { return "engine-speed"; }
  /// \return what was learned, in at most some tens of kilobytes
  std::string encode(double now) const;
  /// Continues from an earlier encode(). Unusable data is ignored.
  /// \param age time since encode()
  /// \return false if the data was not usable
  bool restore(const std::string& bytes, common::Duration age);

  static constexpr EngineIndex kNoEngine = ~EngineIndex{0};

 private:
  struct Model {
    DecodeCurveFit fit;
    /// True once output was measured; the fit then counts delivered tokens.
    bool measured = false;
    /// Moving average of the logarithm of the factors of the sampled engines. Removed from the
    /// factors when the curve is learned, so that the curve is that of the usual engine.
    double mean_factor_log = 0;
    RatioDistribution tokens_per_delivery;
    ModelRatios ratios;
    /// Decaying sums of the durations of prompts and of their squares.
    double prompt_seconds = 0;
    double prompt_squares = 0;
    bool nominal_known = false;

    Model();
  };
  struct Engine {
    bool reported = false;
    EngineFacts facts;
    EngineFactor factor;
    EngineMeans means;
    EngineActivity activity;
  };
  struct Stream {
    EngineIndex engine = kNoEngine;
    double declared_tokens = 0;
    double began_at = 0;
    bool begun = false;
    /// Delivered tokens that were measured.
    double delivered = 0;
    double measured_seconds = 0;
    /// Since the first token or the previous measurement.
    ActivityMark mark;
  };
  /// Factor of an engine that has not reported since restore().
  struct StoredFactor {
    std::uint64_t incarnation = 0;
    double factor = 1;
    double samples = 0;
    double age = 0;
  };

  Engine& engineAt(EngineIndex engine);
  const Engine* find(EngineIndex engine) const;
  const Model* modelOf(const Engine& engine) const;
  double tokensPerDelivery(const Model& model) const;
  DecodeCurveFitSettings fitSettings() const;
  EngineFactorSettings factorSettings() const;
  /// \return seconds of the sample without the prompts computed between its steps
  double withoutPrompts(const Engine& engine, const Stream& stream, double seconds) const;
  void learn(Engine& engine, Model& model, const StepSample& sample, double now);
  void learnUnmeasured(Engine& engine, Model& model, const Stream& stream, double now);

  EngineSpeedSettings settings_;
  std::map<common::ModelName, Model> models_;
  std::vector<Engine> engines_;
  std::unordered_map<std::string, Stream> streams_;
  std::map<common::EngineName, StoredFactor> stored_;
};

}  // namespace cypresswall::engine_speed
