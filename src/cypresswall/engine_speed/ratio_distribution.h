/// Distribution of the ratio of a measured to an expected duration.
#pragma once

#include <cstddef>

namespace cypresswall::engine_speed {

/// A log-logistic distribution whose location and spread are moving averages over the observed
/// ratios, so that recent ratios count most. Its tail is heavier than that of a normal
/// distribution, as that of pauses is.
class RatioDistribution {
 public:
  RatioDistribution() = default;
  /// \param mean_log mean logarithm of the ratio before any observation
  /// \param deviation_log standard deviation of that logarithm
  /// \param weight weight of these, as an equivalent number of observations
  RatioDistribution(double mean_log, double deviation_log, double weight = kAssumedWeight);

  /// \param ratio positive and finite; other values are ignored
  /// \param retention factor on the weight of earlier ratios
  void add(double ratio, double retention);
  /// \param log_limit logarithm of the limit, as a multiple of the expected duration
  /// \return probability that the measured duration exceeds the limit
  double exceeds(double log_limit) const;
  double meanLog() const { return mean_; }
  double deviationLog() const;
  /// Replaces the learned values. \return false, and keeps them, if the given ones are not usable
  bool restore(double mean_log, double deviation_log);

 private:
  static constexpr double kAssumedWeight = 10;

  double mean_ = 0;
  double variance_ = 0;
  double inverse_scale_ = 1;
  double weight_ = 0;

  void update();
};

}  // namespace cypresswall::engine_speed
