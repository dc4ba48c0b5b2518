#include "cypresswall/routing/output_speed.h"

#include <algorithm>

namespace cypresswall::routing {

void OutputSpeedEstimator::begin(const std::string& stream_id, const common::ModelName& model,
                                 double promised, double now) {
  running_[stream_id] = Running{model, promised, now};
}

void OutputSpeedEstimator::complete(const std::string& stream_id, double now) {
  const auto node = running_.extract(stream_id);
  if (node.empty()) {
    return;
  }
  const Running& stream = node.mapped();
  Sums& sums = models_[stream.model];
  const double lasted = std::max(0.0, now - stream.began_at);
  const double kept = settings_.length_retention;
  sums.seconds = kept * sums.seconds + lasted;
  sums.squared_seconds = kept * sums.squared_seconds + lasted * lasted;
  if (!settings_.learns_steps || stream.promised <= 0) {
    return;
  }
  if (sums.promised <= 0) {
    sums.promised = stream.promised * settings_.prior_answers;
    sums.taken = sums.promised;
  }
  const double expected = stream.promised * scale(stream.model);
  sums.promised = settings_.retention * sums.promised + stream.promised;
  sums.taken =
      settings_.retention * sums.taken + std::min(lasted, expected * settings_.outlier_factor);
}

double OutputSpeedEstimator::scale(const common::ModelName& model) const {
  const auto found = models_.find(model);
  if (found == models_.end() || found->second.promised <= 0) {
    return 1;
  }
  return std::max(settings_.least_scale, found->second.taken / found->second.promised);
}

double OutputSpeedEstimator::remainingSeconds(const common::ModelName& model) const {
  // Long streams are seen running more often: the mean of what is left is half of the mean square
  // over the mean.
  constexpr double kHalf = 0.5;
  const auto found = models_.find(model);
  if (!settings_.learns_remaining_time || found == models_.end() || found->second.seconds <= 0) {
    return 0;
  }
  return kHalf * found->second.squared_seconds / found->second.seconds;
}

}  // namespace cypresswall::routing
