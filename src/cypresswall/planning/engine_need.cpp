#include "cypresswall/planning/engine_need.h"

#include <algorithm>

namespace cypresswall::planning {
namespace {

/// An enlarged sample holds between a third and all of the number that is asked for, so twice the
/// engines in use need four times their number.
constexpr std::size_t kGrowthFactor = 4;

}  // namespace

std::size_t EngineNeed::update(const std::vector<ModelExplanation>& models, std::size_t engines,
                               common::MonotonicTime now) {
  if (engines < settings_.minimum_engines) {
    return needed_ = 0;
  }
  double busiest = 0;
  for (const ModelExplanation& model : models) {
    busiest = std::max({busiest, model.utilisation_short, model.decode_utilisation_short});
  }
  if (busiest >= settings_.idle_utilisation) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = now;
  }
  const bool may_grow = !grown_at_ || now - *grown_at_ >= settings_.growth_interval;
  if (busiest > settings_.full_utilisation && may_grow) {
    needed_ = std::max(needed_, kGrowthFactor * engines);
    grown_at_ = now;
  } else if (idle_since_ && now - *idle_since_ >= settings_.release_time) {
    needed_ /= 2;
    idle_since_ = now;
  }
  return needed_;
}

}  // namespace cypresswall::planning
