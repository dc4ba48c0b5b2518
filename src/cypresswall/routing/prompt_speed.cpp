#include "cypresswall/routing/prompt_speed.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::routing {
namespace {

/// A scale is never taken for smaller than this.
constexpr double kLeastScale = 1e-4;
/// Below this part of the largest possible value, samples don't tell way and scale apart.
constexpr double kLeastDeterminant = 1e-9;

}  // namespace

PromptSpeed PromptSpeedEstimator::ModelSums::solve() const {
  PromptSpeed speed;
  const double determinant = ff * xx - fx * fx;
  if (determinant > kLeastDeterminant * ff * xx) {
    speed.fixed_latency = (fy * xx - xy * fx) / determinant;
    speed.scale = (xy * ff - fy * fx) / determinant;
  }
  if (speed.fixed_latency < 0 || determinant <= kLeastDeterminant * ff * xx) {
    speed.fixed_latency = 0;
    speed.scale = xy / xx;
  }
  speed.scale = std::max(speed.scale, kLeastScale);
  return speed;
}

PromptSpeed PromptSpeedEstimator::modelSpeed(const common::ModelName& model,
                                             double assumed_way) const {
  const auto found = models_.find(model);
  return found == models_.end() ? PromptSpeed{assumed_way, 1.0} : found->second.solve();
}

double PromptSpeedEstimator::samplesLeft(const EngineScale& engine, double now) const {
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
                               const PromptSample& sample, double assumed_way, double now) {
  if (!settings_.learns || !(sample.promised > 0) || !(sample.taken > 0)) {
    return;
  }
  const PromptSpeed known = modelSpeed(model, assumed_way);
  const double x = sample.promised;
  const double way = sample.with_way ? 1.0 : 0.0;
  const double expected = way * known.fixed_latency + known.scale * x;
  const double y = std::clamp(sample.taken, expected / settings_.model_outlier_factor,
                              expected * settings_.model_outlier_factor);
  auto [entry, first] = models_.try_emplace(model);
  ModelSums& sums = entry->second;
  if (first) {
    // The assumptions count as samples of the first prompt's size.
    sums.ff = settings_.prior_samples;
    sums.fy = settings_.prior_samples * assumed_way;
    sums.xx = settings_.prior_samples * x * x;
    sums.xy = sums.xx;
  }
  sums.add(way, x, y, weightOf(y - expected, expected), settings_.retention);

  if (engine >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(engine) + 1);
  }
  EngineScale& own = engines_[engine];
  const PromptSpeed learnt = sums.solve();
  const double left = samplesLeft(own, now);
  const double before = left < 1 ? learnt.scale : own.scale;
  const double shown = std::clamp((sample.taken - way * learnt.fixed_latency) / x,
                                  before / settings_.engine_outlier_factor,
                                  before * settings_.engine_outlier_factor);
  own.scale = before + settings_.engine_weight * (shown - before);
  own.samples = left + 1.0;
  own.updated_at = now;
}

void PromptSpeedEstimator::forget(EngineSlot engine) {
  if (engine < engines_.size()) {
    engines_[engine] = EngineScale{};
  }
}

PromptSpeed PromptSpeedEstimator::speed(const common::ModelName& model, EngineSlot engine,
                                        double assumed_way, double now) const {
  PromptSpeed speed = modelSpeed(model, assumed_way);
  if (engine < engines_.size()) {
    const EngineScale& own = engines_[engine];
    const double samples = samplesLeft(own, now);
    speed.scale += (own.scale - speed.scale) * samples / (samples + settings_.engine_samples);
  }
  return speed;
}

}  // namespace cypresswall::routing
