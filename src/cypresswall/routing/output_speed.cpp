#include "cypresswall/routing/output_speed.h"

#include <algorithm>

namespace cypresswall::routing {

void OutputSpeeds::begin(const std::string& stream_id, const common::ModelName& model,
                         double promised, double now) {
  if (promised > 0) {
    running_[stream_id] = Running{model, promised, now};
  }
}

void OutputSpeeds::complete(const std::string& stream_id, double now) {
  const auto node = running_.extract(stream_id);
  if (node.empty()) {
    return;
  }
  const Running& stream = node.mapped();
  const auto [entry, first] = models_.try_emplace(stream.model);
  Sums& sums = entry->second;
  if (first) {
    sums.promised = stream.promised * settings_.prior_answers;
    sums.taken = sums.promised;
  }
  const double taken = std::clamp(now - stream.began_at, 0.0,
                                  stream.promised * scale(stream.model) * settings_.outlier_factor);
  sums.promised = settings_.retention * sums.promised + stream.promised;
  sums.taken = settings_.retention * sums.taken + taken;
}

double OutputSpeeds::scale(const common::ModelName& model) const {
  const auto found = models_.find(model);
  return found == models_.end()
             ? 1.0
             : std::max(settings_.least_scale, found->second.taken / found->second.promised);
}

}  // namespace cypresswall::routing
