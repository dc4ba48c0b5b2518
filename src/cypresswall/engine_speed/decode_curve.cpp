#include "cypresswall/engine_speed/decode_curve.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::engine_speed {
namespace {

/// Least duration of a step, in seconds.
constexpr double kMinimumSeconds = 1e-7;
/// Number of samples that a restored curve counts as.
constexpr double kRestoredSamples = 20;
/// Number of samples over which an engine's means are taken.
constexpr double kMeanSamples = 30;
constexpr double kHalf = 0.5;

}  // namespace

void EngineMeans::add(const StepSample& sample) {
  samples = std::min(samples + 1, kMeanSamples);
  streams += (sample.streams - streams) / samples;
  step += (sample.step - step) / samples;
}

void DecodeCurveFit::setNominal(const DecodeCurve& nominal, double full_streams) {
  nominal_ = nominal;
  full_streams_ = std::max(full_streams, 2.0);
  if (!learned()) {
    curve_ = nominal;
  }
}

void DecodeCurveFit::add(const StepSample& sample, double factor, const EngineMeans& means,
                         const DecodeCurveFitSettings& settings) {
  const double step = sample.step / factor;
  const double expected =
      std::max(learned() ? curve_.seconds(sample.streams) : step, kMinimumSeconds);
  const double clamped =
      std::clamp(step, expected / settings.outlier_factor, expected * settings.outlier_factor);
  const double usual = settings.usual_deviation * expected;
  const double trust = usual / std::max(usual, std::abs(clamped - expected));
  // Weighted by the inverse square of the expected step, so that deviations count in proportion.
  const double weight = sample.weight * trust / (expected * expected);
  for (double* const sum : {&weight_, &streams_, &steps_, &squares_, &products_}) {
    *sum *= settings.retention;
  }
  weight_ += weight;
  streams_ += weight * sample.streams;
  steps_ += weight * clamped;
  if (means.samples >= 1 && means.step > 0) {
    const double deviation = sample.streams - means.streams;
    const double level = curve_.seconds(means.streams);
    const double change =
        std::clamp(sample.step / means.step, 1 / settings.outlier_factor, settings.outlier_factor) -
        1;
    squares_ += weight * deviation * deviation;
    products_ += weight * deviation * change * level;
  }
  curve_ = solve(settings.prior_samples);
}

DecodeCurve DecodeCurveFit::solve(double prior_samples) const {
  const double step = std::max(steps_ / weight_, kMinimumSeconds);
  const double streams = streams_ / weight_;
  // The prior counts as two samples, with no stream and with a full step.
  const double nominal_step = nominal_.seconds(streams);
  const double level = nominal_step > 0 ? step / nominal_step : 0;
  const double spread = kHalf * full_streams_;
  const double prior = 2 * prior_samples * spread * spread / (step * step);
  const double slope = (products_ + prior * level * nominal_.per_stream) /
                       std::max(squares_ + prior, kMinimumSeconds);
  // A step with no stream takes no negative time.
  const double bounded = std::clamp(slope, 0.0, step / std::max(streams, 1.0));
  return {std::max(step - bounded * streams, 0.0), bounded};
}

void DecodeCurveFit::restore(const DecodeCurve& curve, const DecodeCurveFitSettings& settings) {
  const double streams = kHalf * full_streams_;
  const double step = std::max(curve.seconds(streams), kMinimumSeconds);
  weight_ = kRestoredSamples / (step * step);
  streams_ = weight_ * streams;
  steps_ = weight_ * step;
  squares_ = weight_ * streams * streams;
  products_ = squares_ * curve.per_stream;
  curve_ = solve(settings.prior_samples);
}

}  // namespace cypresswall::engine_speed
