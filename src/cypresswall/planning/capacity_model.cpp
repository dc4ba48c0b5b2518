#include "cypresswall/planning/capacity_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cypresswall::planning {
namespace {

/// Utilisations above this are treated as infinite.
constexpr double kMaximumUtilisation = 64.0;
/// Bisection steps in the search for the utilisation; the relative error of the result is about one
/// in ten thousand.
constexpr int kSearchSteps = 20;

/// Largest utilisation to which the Erlang C formula is applied. Its waiting times grow without
/// bound as the utilisation approaches 1. Demand above a utilisation of 1 counts as refused.
constexpr double kMaximumQueueingUtilisation = 0.98;

/// \return prompt tokens per second of a mixed engine that generates output of one stream in each
///   step in which it computes a chunk of a prompt; zero if its speed is unknown
double sharedPrefillSpeed(const PlannedEngine& engine, const CapacitySettings& settings) {
  const double alone = engine.prefill_tokens_per_second * settings.mixed_prefill_share;
  if (alone <= 0) {
    return 0;
  }
  const double step = engine.decode_step_base + engine.decode_step_per_stream;
  return 1.0 / (1.0 / alone + step / settings.prefill_chunk_tokens);
}

/// \return the probability that all `servers` are busy (Erlang C formula).
double waitProbability(double servers, double utilisation) {
  const double offered = servers * utilisation;
  double blocked = 1.0;
  for (double server = 1; server <= servers; ++server) {
    blocked = offered * blocked / (server + offered * blocked);
  }
  return blocked / (1.0 - utilisation * (1.0 - blocked));
}

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
      capacity.prefill_engines += sign;
      break;
    case engines::EngineRole::kMixed:
      capacity.mixed_prefill += prefill * settings_.mixed_prefill_share;
      capacity.mixed_decode += decode;
      capacity.shared_prefill += sign * sharedPrefillSpeed(engine, settings_);
      capacity.mixed_engines += sign;
      break;
    case engines::EngineRole::kDecode:
      capacity.decode_prefill += prefill * settings_.decode_prefill_share;
      capacity.decode_decode += decode;
      capacity.decode_engines += sign;
      break;
  }
}

bool CapacityModel::fits(const RoleCapacity& capacity, const DemandRate& demand,
                         double time_share) const {
  // Output goes to decode engines first, and prompts go to prefill engines first. The output and
  // prompts that don't fit there go to the mixed engines. Prompts that don't fit there either use
  // the idle time of decode engines.
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
  const double onset = settings_.late_onset_utilisation;
  if (utilisation <= onset) {
    return 0;
  }
  if (std::isinf(utilisation)) {
    return 1;
  }
  const double excess = std::min(1.0, (utilisation - onset) / (1.0 - onset));
  const double late = settings_.late_share_at_capacity * excess * excess;
  const double refused = utilisation > 1 ? 1.0 - 1.0 / utilisation : 0;
  return refused + (1.0 - refused) * late;
}

double CapacityModel::lateShare(double servers, double utilisation, double service,
                                double slack) const {
  if (servers < 1 || slack <= 0) {
    return 1;
  }
  const double queueing_utilisation = std::min(utilisation, kMaximumQueueingUtilisation);
  const double refused = utilisation > 1 ? 1.0 - 1.0 / utilisation : 0;
  const double idle = (1.0 - queueing_utilisation) * slack / service;
  const double informed =
      waitProbability(servers, queueing_utilisation) * std::exp(-servers * idle);
  const double uninformed = queueing_utilisation * std::exp(-idle);
  const double late =
      settings_.uninformed_share * uninformed + (1.0 - settings_.uninformed_share) * informed;
  return refused + (1.0 - refused) * late;
}

double CapacityModel::lostByQueueing(const RoleCapacity& capacity, const ModelDemand& limits,
                                     const DemandRate& demand) const {
  const double servers = capacity.prefill_engines + capacity.mixed_engines;
  const double speed = capacity.prefill_only + capacity.shared_prefill;
  if (demand.long_requests_per_second <= 0 || servers < 1 || speed <= 0) {
    return 0;
  }
  const double prompt = demand.long_prefill_tokens_per_second / demand.long_requests_per_second;
  const double utilisation = demand.long_prefill_tokens_per_second / speed;
  const double service = prompt * servers / speed;
  const double slack = common::toSeconds(limits.long_first_token_limit) - service;
  double lost = demand.long_requests_per_second * lateShare(servers, utilisation, service, slack);
  if (capacity.mixed_engines >= 1) {
    // Utilisation of the mixed engines by long prompts: the mean of the utilisation if long prompts
    // are spread evenly over all engines, and if they go to prefill engines first.
    const double left = demand.long_prefill_tokens_per_second -
                        settings_.late_onset_utilisation * capacity.prefill_only;
    const double overflow = std::max(0.0, left) / capacity.shared_prefill;
    const double shared_utilisation = (utilisation + overflow) / 2;
    const double shared_service = prompt * capacity.mixed_engines / capacity.shared_prefill;
    // Decode engines get no long prompts, so only short prompts on mixed engines can wait.
    const double exposed = (demand.requests_per_second - demand.long_requests_per_second) *
                           capacity.mixed_engines /
                           (capacity.mixed_engines + capacity.decode_engines);
    lost += exposed * lateShare(capacity.mixed_engines, shared_utilisation, shared_service,
                                common::toSeconds(limits.short_first_token_limit));
  }
  return lost;
}

double CapacityModel::longPromptUtilisation(const std::vector<const PlannedEngine*>& engines,
                                            const CapacitySettings& settings,
                                            double long_tokens_per_second) {
  double speed = 0;
  for (const PlannedEngine* engine : engines) {
    speed += engine->available ? sharedPrefillSpeed(*engine, settings) : 0;
  }
  return shareOf(long_tokens_per_second, speed);
}

}  // namespace cypresswall::planning
