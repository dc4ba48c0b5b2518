#include "cypresswall/planning/capacity_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cypresswall::planning {
namespace {

/// A utilisation above this is as good as infinite.
constexpr double kMaximumUtilisation = 64.0;
/// Halvings of the search; the result is exact to about one part in ten thousand.
constexpr int kSearchSteps = 20;

double shareOf(double work, double speed) {
  if (work <= 0) {
    return 0;
  }
  return speed > 0 ? work / speed : std::numeric_limits<double>::infinity();
}

}  // namespace

double CapacityModel::decodeSpeed(const PlannedEngine& engine,
                                  common::Duration between_tokens_limit) {
  const double limit = common::toSeconds(between_tokens_limit);
  double streams = std::max<double>(engine.maximum_streams, 1.0);
  if (engine.decode_step_per_stream > 0 && limit > engine.decode_step_base) {
    const double allowed = (limit - engine.decode_step_base) / engine.decode_step_per_stream;
    streams = std::clamp(std::floor(allowed), 1.0, streams);
  }
  const double step = engine.decode_step_base + engine.decode_step_per_stream * streams;
  return step > 0 ? streams / step : 0;
}

void CapacityModel::add(RoleCapacity& capacity, const PlannedEngine& engine,
                        engines::EngineRole role, double decode_speed, double sign) const {
  const double prefill = sign * engine.prefill_tokens_per_second;
  const double decode = sign * decode_speed;
  switch (role) {
    case engines::EngineRole::kPrefill:
      capacity.prefill_only += prefill;
      break;
    case engines::EngineRole::kMixed:
      capacity.mixed_prefill += prefill * settings_.mixed_prefill_share;
      capacity.mixed_decode += decode;
      break;
    case engines::EngineRole::kDecode:
      capacity.decode_prefill += prefill * settings_.decode_prefill_share;
      capacity.decode_decode += decode;
      break;
  }
}

bool CapacityModel::fits(const RoleCapacity& capacity, const DemandRate& demand,
                         double time_share) const {
  // Output goes to decode engines first, prompts to prefill engines first; what is left of both
  // shares the mixed engines, and prompts take last what decode engines have left.
  const double decode_left = demand.decode_tokens_per_second - time_share * capacity.decode_decode;
  const double mixed_time = time_share - shareOf(decode_left, capacity.mixed_decode);
  if (mixed_time < 0) {
    return false;
  }
  const double decode_used =
      std::min(time_share, shareOf(demand.decode_tokens_per_second, capacity.decode_decode));
  const double decode_time = capacity.decode_decode > 0 ? time_share - decode_used : 0;
  const double prefill = time_share * capacity.prefill_only + mixed_time * capacity.mixed_prefill +
                         decode_time * capacity.decode_prefill;
  return prefill >= demand.prefill_tokens_per_second;
}

double CapacityModel::utilisation(const RoleCapacity& capacity, const DemandRate& demand) const {
  if (!fits(capacity, demand, kMaximumUtilisation)) {
    return std::numeric_limits<double>::infinity();
  }
  double low = 0;
  double high = 1;
  while (!fits(capacity, demand, high)) {
    low = high;
    high *= 2;
  }
  for (int i = 0; i < kSearchSteps; ++i) {
    const double middle = (low + high) / 2;
    (fits(capacity, demand, middle) ? high : low) = middle;
  }
  return high;
}

double CapacityModel::lostShare(double utilisation) const {
  const double comfortable = settings_.comfortable_utilisation;
  if (utilisation <= comfortable) {
    return 0;
  }
  if (std::isinf(utilisation)) {
    return 1;
  }
  const double excess = std::min(1.0, (utilisation - comfortable) / (1.0 - comfortable));
  const double late = settings_.late_share_at_capacity * excess * excess;
  const double refused = utilisation > 1 ? 1.0 - 1.0 / utilisation : 0;
  return refused + (1.0 - refused) * late;
}

}  // namespace cypresswall::planning
