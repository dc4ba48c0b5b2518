#include "cypresswall/routing/output_speed.h"

#include <algorithm>

namespace cypresswall::routing {

void OutputSpeedEstimator::begin(const std::string& stream_id, const common::ModelName& model,
                                 double nominal, double now) {
  running_[stream_id] = Running{model, nominal, now};
}

void OutputSpeedEstimator::complete(const std::string& stream_id, double now) {
  const auto node = running_.extract(stream_id);
  if (node.empty()) {
    return;
  }
  const Running& stream = node.mapped();
  Sums& sums = models_[stream.model];
  const double duration = std::max(0.0, now - stream.began_at);
  const double retention = settings_.length_retention;
  sums.seconds = retention * sums.seconds + duration;
  sums.squared_seconds = retention * sums.squared_seconds + duration * duration;
  if (!settings_.learns_steps || stream.nominal <= 0) {
    return;
  }
  if (sums.nominal <= 0) {
    sums.nominal = stream.nominal * settings_.prior_answers;
    sums.measured = sums.nominal;
  }
  const double expected = stream.nominal * scale(stream.model);
  sums.nominal = settings_.retention * sums.nominal + stream.nominal;
  sums.measured =
      settings_.retention * sums.measured + std::min(duration, expected * settings_.outlier_factor);
}

double OutputSpeedEstimator::scale(const common::ModelName& model) const {
  const auto found = models_.find(model);
  if (found == models_.end() || found->second.nominal <= 0) {
    return 1;
  }
  return std::max(settings_.minimum_scale, found->second.measured / found->second.nominal);
}

double OutputSpeedEstimator::remainingSeconds(const common::ModelName& model) const {
  // A stream observed at a random time is more likely to be a long one. With durations T, its mean
  // remaining time is E[T^2] / (2 E[T]).
  constexpr double kHalf = 0.5;
  const auto found = models_.find(model);
  if (!settings_.learns_remaining_time || found == models_.end() || found->second.seconds <= 0) {
    return 0;
  }
  return kHalf * found->second.squared_seconds / found->second.seconds;
}

}  // namespace cypresswall::routing
