/// Duration of a decode step as a function of the number of streams.
#pragma once

namespace cypresswall::engine_speed {

/// Duration of a step in seconds: base + per_stream * streams.
struct DecodeCurve {
  double base = 0;
  double per_stream = 0;

  double seconds(double streams) const { return base + per_stream * streams; }
};

struct DecodeCurveFitSettings {
  double retention = 0;
  double prior_samples = 0;
  double usual_deviation = 0;
  double outlier_factor = 0;
};

/// A mean duration of a step, measured on one engine while `streams` streams ran on average.
struct StepSample {
  double streams = 1;
  /// Seconds, positive.
  double step = 0;
  double weight = 1;
  /// Time over which it was measured.
  double seconds = 0;
};

/// Moving averages over the samples of one engine.
struct EngineMeans {
  double streams = 0;
  double step = 0;
  double samples = 0;

  void add(const StepSample& sample);
};

/// Learns the curve of a model from samples of engines of different speed. The growth of a step is
/// taken from the deviations of each engine's samples from that engine's own means: faster engines
/// run more streams, so a comparison between engines would show the placement, not the growth. A
/// sample weighs less the further it is from the expected step, so that a stalled stream changes
/// little. Until the numbers of streams differ sufficiently, the curve has the shape of the nominal
/// one.
class DecodeCurveFit {
 public:
  /// \param nominal assumed curve; its level is replaced by that of the first sample
  /// \param full_streams number of streams of a full step
  void setNominal(const DecodeCurve& nominal, double full_streams);
  /// \param factor factor of the sample's engine on the curve
  /// \param means of the engine, without this sample
  void add(const StepSample& sample, double factor, const EngineMeans& means,
           const DecodeCurveFitSettings& settings);
  /// \return the learned curve; the nominal one if nothing was learned
  const DecodeCurve& curve() const { return curve_; }
  bool learned() const { return weight_ > 0; }
  /// Continues from a curve that was learned earlier.
  void restore(const DecodeCurve& curve, const DecodeCurveFitSettings& settings);

 private:
  DecodeCurve solve(double prior_samples) const;

  DecodeCurve nominal_;
  double full_streams_ = 16;
  DecodeCurve curve_;
  /// Weighted sums over the samples: of 1, of the streams, and of the steps.
  double weight_ = 0;
  double streams_ = 0;
  double steps_ = 0;
  /// Weighted sums over the deviations of the streams from their engine's mean: of the squares, and
  /// of the products with the deviations of the steps.
  double squares_ = 0;
  double products_ = 0;
};

}  // namespace cypresswall::engine_speed
