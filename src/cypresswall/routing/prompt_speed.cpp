#include "cypresswall/routing/prompt_speed.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::routing {
namespace {

/// Lower bound of the scale.
constexpr double kMinimumScale = 1e-4;
/// Minimum determinant of the least-squares equations, relative to its largest possible value.
/// Below this, the samples can't separate the fixed latency from the scale, and a latency of zero
/// is assumed.
constexpr double kMinimumRelativeDeterminant = 1e-9;

}  // namespace

PromptSpeed PromptSpeedEstimator::ModelSums::solve() const {
  PromptSpeed speed;
  const double determinant = ff * xx - fx * fx;
  if (determinant > kMinimumRelativeDeterminant * ff * xx) {
    speed.fixed_latency = (fy * xx - xy * fx) / determinant;
    speed.scale = (xy * ff - fy * fx) / determinant;
  }
  if (speed.fixed_latency < 0 || determinant <= kMinimumRelativeDeterminant * ff * xx) {
    speed.fixed_latency = 0;
    speed.scale = xy / xx;
  }
  speed.scale = std::max(speed.scale, kMinimumScale);
  return speed;
}

PromptSpeed PromptSpeedEstimator::modelSpeed(const common::ModelName& model,
                                             double assumed_latency) const {
  const auto found = models_.find(model);
  return found == models_.end() ? PromptSpeed{assumed_latency, 1.0} : found->second.solve();
}

double PromptSpeedEstimator::effectiveSamples(const EngineScale& engine, double now) const {
  const double age = std::max(0.0, now - engine.updated_at);
  return engine.samples * std::exp2(-age / settings_.engine_half_life);
}

void PromptSpeedEstimator::ModelSums::add(double f, double x, double y, double weight,
                                          double retention) {
  ff = retention * ff + weight * f;
  fx = retention * fx + weight * f * x;
  xx = retention * xx + weight * x * x;
  fy = retention * fy + weight * f * y;
  xy = retention * xy + weight * x * y;
}

double PromptSpeedEstimator::weightOf(double residual, double expected) const {
  const double usual = settings_.usual_deviation * expected;
  return usual / std::max(usual, std::abs(residual));
}

void PromptSpeedEstimator::add(const common::ModelName& model, EngineSlot engine,
                               const PromptSample& sample, double assumed_latency, double now) {
  if (!settings_.learns || !(sample.nominal > 0) || !(sample.measured > 0)) {
    return;
  }
  const PromptSpeed current = modelSpeed(model, assumed_latency);
  const double x = sample.nominal;
  const double latency_factor = sample.includes_latency ? 1.0 : 0.0;
  const double expected = latency_factor * current.fixed_latency + current.scale * x;
  const double y = std::clamp(sample.measured, expected / settings_.model_outlier_factor,
                              expected * settings_.model_outlier_factor);
  auto [entry, first] = models_.try_emplace(model);
  ModelSums& sums = entry->second;
  if (first) {
    // The prior (the assumed latency and a scale of 1) has the weight of `prior_samples` samples
    // with the nominal duration of the first prompt.
    sums.ff = settings_.prior_samples;
    sums.fy = settings_.prior_samples * assumed_latency;
    sums.xx = settings_.prior_samples * x * x;
    sums.xy = sums.xx;
  }
  sums.add(latency_factor, x, y, weightOf(y - expected, expected), settings_.retention);

  if (engine >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(engine) + 1);
  }
  EngineScale& engine_scale = engines_[engine];
  const PromptSpeed learned = sums.solve();
  const double remaining_samples = effectiveSamples(engine_scale, now);
  const double previous = remaining_samples < 1 ? learned.scale : engine_scale.scale;
  const double observed = std::clamp((sample.measured - latency_factor * learned.fixed_latency) / x,
                                     previous / settings_.engine_outlier_factor,
                                     previous * settings_.engine_outlier_factor);
  engine_scale.scale = previous + settings_.engine_weight * (observed - previous);
  engine_scale.samples = remaining_samples + 1.0;
  engine_scale.updated_at = now;
}

void PromptSpeedEstimator::forget(EngineSlot engine) {
  if (engine < engines_.size()) {
    engines_[engine] = EngineScale{};
  }
}

PromptSpeed PromptSpeedEstimator::speed(const common::ModelName& model, EngineSlot engine,
                                        double assumed_latency, double now) const {
  PromptSpeed speed = modelSpeed(model, assumed_latency);
  if (engine < engines_.size()) {
    const EngineScale& engine_scale = engines_[engine];
    const double samples = effectiveSamples(engine_scale, now);
    speed.scale +=
        (engine_scale.scale - speed.scale) * samples / (samples + settings_.engine_samples);
  }
  return speed;
}

}  // namespace cypresswall::routing
