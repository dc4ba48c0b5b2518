#include "cypresswall/engine_speed/ratio_distribution.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cypresswall::engine_speed {
namespace {

constexpr double kMinimumDeviation = 0.05;
constexpr double kMaximumDeviation = 3;
/// Bound of the logarithm of a ratio: a factor of about 400 either way.
constexpr double kMaximumLog = 6;

}  // namespace

RatioDistribution::RatioDistribution(double mean_log, double deviation_log, double weight)
    : mean_(mean_log), variance_(deviation_log * deviation_log), weight_(weight) {
  update();
}

void RatioDistribution::update() {
  // A logistic distribution with scale s has the standard deviation s * pi / sqrt(3).
  inverse_scale_ = std::numbers::pi / (std::numbers::sqrt3 * deviationLog());
}

double RatioDistribution::deviationLog() const {
  return std::clamp(std::sqrt(variance_), kMinimumDeviation, kMaximumDeviation);
}

void RatioDistribution::add(double ratio, double retention) {
  if (!(ratio > 0) || !std::isfinite(ratio)) {
    return;
  }
  const double value = std::clamp(std::log(ratio), -kMaximumLog, kMaximumLog);
  weight_ = retention * weight_ + 1;
  const double share = 1 / weight_;
  const double difference = value - mean_;
  mean_ += share * difference;
  variance_ = (1 - share) * (variance_ + share * difference * difference);
  update();
}

double RatioDistribution::exceeds(double log_limit) const {
  return 1 / (1 + std::exp((log_limit - mean_) * inverse_scale_));
}

bool RatioDistribution::restore(double mean_log, double deviation_log) {
  const bool usable =
      std::abs(mean_log) <= kMaximumLog && deviation_log >= 0 && deviation_log <= kMaximumDeviation;
  if (usable) {
    *this = RatioDistribution(mean_log, deviation_log);
  }
  return usable;
}

}  // namespace cypresswall::engine_speed
