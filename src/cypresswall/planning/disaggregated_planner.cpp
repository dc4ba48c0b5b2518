#include "cypresswall/planning/disaggregated_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cypresswall::planning {
namespace {

using engines::EngineRole;

/// Upper bound of calculated utilisations; also the utilisation of a role that has work but no
/// engines.
constexpr double kSaturatedUtilisation = 64.0;

double utilisationOf(double work, double engines) {
  if (work <= 0) {
    return 0;
  }
  return engines > 0 ? std::min(kSaturatedUtilisation, work / engines) : kSaturatedUtilisation;
}

void sortByStreams(std::vector<const PlannedEngine*>& engines) {
  std::stable_sort(engines.begin(), engines.end(), [](const auto* left, const auto* right) {
    return left->streams < right->streams;
  });
}

std::string describe(const PlanAlternative& move, double required) {
  const std::string text = move.engine + " from " + engines::toString(move.from) + " to " +
                           engines::toString(move.to) + " gains " + std::to_string(move.benefit) +
                           " engine seconds, " + std::to_string(required) + " needed";
  return (move.benefit > required ? "change " : "no change: ") + text;
}

}  // namespace

DisaggregatedPlanner::Split DisaggregatedPlanner::Split::movedTo(EngineRole to) const {
  const double towards = to == EngineRole::kPrefill ? 1.0 : -1.0;
  return {prefill + towards, decode - towards};
}

Plan DisaggregatedPlanner::plan(const PlanningInput& input) {
  Plan plan;
  std::set<common::ModelName> models;
  for (const PlannedEngine& engine : input.engines) {
    models.insert(engine.model);
  }
  for (const common::ModelName& model : models) {
    ModelState state = stateOf(model, input);
    planModel(state, plan);
  }
  return plan;
}

DisaggregatedPlanner::ModelState DisaggregatedPlanner::stateOf(const common::ModelName& model,
                                                               const PlanningInput& input) const {
  ModelState state;
  state.model = model;
  const auto demand = input.demand.find(model);
  state.demand = demand == input.demand.end() ? ModelDemand{} : demand->second;
  const common::Duration measured = input.expected_change_time;
  state.change_time =
      common::toSeconds(measured.count() > 0 ? measured : settings_.expected_change_time);
  state.horizon = common::toSeconds(input.policy.horizon);
  state.weight = input.policy.role_change_weight;
  const auto in_progress = input.changes_in_progress.find(model);
  state.in_progress = in_progress == input.changes_in_progress.end() ? 0 : in_progress->second;
  for (const PlannedEngine& engine : input.engines) {
    if (engine.model != model) {
      continue;
    }
    ++state.engines;
    state.decode_speed = std::max(
        state.decode_speed, CapacityModel::decodeSpeed(engine, state.demand.between_tokens_limit));
    const bool prefill = engine.role == EngineRole::kPrefill;
    if (engine.available) {
      (prefill ? state.split.prefill : state.split.decode) += 1;
    }
    if (engine.changeable) {
      (prefill ? state.movable_prefill : state.movable_decode).push_back(&engine);
    }
  }
  sortByStreams(state.movable_prefill);
  sortByStreams(state.movable_decode);
  return state;
}

DisaggregatedPlanner::WorkDistribution DisaggregatedPlanner::distributeWork(
    const ModelState& state, const DemandRate& demand, const Split& split) const {
  WorkDistribution work;
  work.output_seconds = state.decode_speed > 0 && demand.output_seconds <= 0
                            ? demand.decode_tokens_per_second / state.decode_speed
                            : demand.output_seconds;
  const double slowdown = 1.0 / settings_.capacity.decode_prefill_share;
  const double fixed_prefill = demand.prefill_engine_seconds - demand.flexible_prefill_seconds;
  const double fixed_decode = demand.decode_engine_seconds - demand.flexible_decode_seconds;
  // Prompt work that prefill engines could do, in seconds of a prefill engine per second: their
  // present work and the flexible prompts of the decode engines.
  const double total = demand.prefill_engine_seconds + demand.flexible_decode_seconds / slowdown;
  const double even = split.prefill * (fixed_decode + work.output_seconds + slowdown * total) /
                      std::max(1.0, split.decode + slowdown * split.prefill);
  const double flexible_requests = demand.flexible_decode_requests_per_second;
  work.prefill_seconds = std::clamp(even, std::max(0.0, fixed_prefill), std::max(total, 0.0));
  work.decode_prompt_seconds = fixed_decode + slowdown * (total - work.prefill_seconds);
  work.decode_value = fixed_decode + work.output_seconds + total - work.prefill_seconds;
  work.prefill_requests_per_second =
      total > 0 ? (demand.prefill_engine_requests_per_second + flexible_requests) *
                      work.prefill_seconds / total
                : 0;
  return work;
}

double DisaggregatedPlanner::prefillUtilisation(const WorkDistribution& work, const Split& split) {
  return utilisationOf(work.prefill_seconds, split.prefill);
}

double DisaggregatedPlanner::decodeUtilisation(const WorkDistribution& work, const Split& split) {
  return utilisationOf(work.decode_prompt_seconds + work.output_seconds, split.decode);
}

double DisaggregatedPlanner::lateDecodeShare(double utilisation) const {
  const double onset = settings_.decode_late_onset_utilisation;
  const double excess = std::clamp((utilisation - onset) / (1.0 - onset), 0.0, 1.0);
  const double refused = utilisation > 1 ? 1.0 - 1.0 / utilisation : 0;
  return refused + (1.0 - refused) * settings_.late_share_at_full_decode * excess * excess;
}

double DisaggregatedPlanner::lostRate(const ModelState& state, const DemandRate& demand,
                                      const Split& split) const {
  const WorkDistribution work = distributeWork(state, demand, split);
  double lost = 0;
  if (work.prefill_requests_per_second > 0) {
    const double service = work.prefill_seconds / work.prefill_requests_per_second;
    const double slack = common::toSeconds(state.demand.long_first_token_limit) - service;
    lost +=
        work.prefill_seconds * capacity_.lateShare(split.prefill, prefillUtilisation(work, split),
                                                   service, std::max(slack, service));
  }
  return lost + work.decode_value * lateDecodeShare(decodeUtilisation(work, split));
}

double DisaggregatedPlanner::benefit(const ModelState& state, const DemandRate& demand,
                                     const Split& during, const Split& after) const {
  const double change_time = std::min(state.change_time, state.horizon);
  const double without = lostRate(state, demand, state.split) * state.horizon;
  const double with = lostRate(state, demand, during) * change_time +
                      lostRate(state, demand, after) * (state.horizon - change_time);
  return without - with;
}

double DisaggregatedPlanner::benefit(const ModelState& state, EngineRole to) const {
  const Split after = state.split.movedTo(to);
  const Split during{std::min(state.split.prefill, after.prefill),
                     std::min(state.split.decode, after.decode)};
  const double recent = benefit(state, state.demand.short_window, during, after);
  const double past = benefit(state, state.demand.long_window, during, after);
  // If the short window shows too little benefit, the reason for the move no longer exists.
  if (recent <= state.weight) {
    return std::min(recent, past);
  }
  const double weight = settings_.short_window_weight;
  return weight * recent + (1.0 - weight) * past;
}

double DisaggregatedPlanner::minimumEnginesPerRole(const ModelState& state) const {
  const double share = settings_.enforces_minimum_share ? settings_.minimum_share : 0.0;
  return std::max<double>(settings_.minimum_engines, std::ceil(share * state.engines));
}

PlanAlternative DisaggregatedPlanner::bestMove(const ModelState& state) const {
  PlanAlternative best;
  const double minimum = minimumEnginesPerRole(state);
  const auto weigh = [&](const auto& movable, double engines, EngineRole from, EngineRole to) {
    if (movable.empty() || engines <= minimum) {
      return;
    }
    const double gain = benefit(state, to);
    if (best.engine.empty() || gain > best.benefit) {
      best = {movable.front()->name, from, to, gain};
    }
  };
  weigh(state.movable_decode, state.split.decode, EngineRole::kDecode, EngineRole::kPrefill);
  weigh(state.movable_prefill, state.split.prefill, EngineRole::kPrefill, EngineRole::kDecode);
  return best;
}

void DisaggregatedPlanner::planModel(ModelState& state, Plan& plan) const {
  ModelExplanation explanation;
  explanation.model = state.model;
  explanation.demand = state.demand;
  explanation.required_benefit = state.weight;
  const WorkDistribution recent = distributeWork(state, state.demand.short_window, state.split);
  const WorkDistribution past = distributeWork(state, state.demand.long_window, state.split);
  explanation.utilisation_short = prefillUtilisation(recent, state.split);
  explanation.utilisation_long = prefillUtilisation(past, state.split);
  explanation.decode_utilisation_short = decodeUtilisation(recent, state.split);
  explanation.decode_utilisation_long = decodeUtilisation(past, state.split);
  explanation.prefill_engines = static_cast<std::uint32_t>(state.split.prefill);
  explanation.decode_engines = static_cast<std::uint32_t>(state.split.decode);
  explanation.lost_without_change =
      lostRate(state, state.demand.short_window, state.split) * state.horizon;
  const double share = settings_.maximum_changing_share * state.engines;
  const auto allowed = std::max(1U, static_cast<std::uint32_t>(share));
  explanation.conclusion = "no change: as many engines are away as may be";
  for (; state.in_progress < allowed; ++state.in_progress) {
    const PlanAlternative move = bestMove(state);
    if (move.engine.empty()) {
      explanation.conclusion = "no change: no engine may be changed";
      break;
    }
    explanation.alternatives.push_back(move);
    explanation.conclusion = describe(move, state.weight);
    if (move.benefit <= state.weight) {
      break;
    }
    plan.changes.push_back({move.engine, move.to});
    state.split = state.split.movedTo(move.to);
    auto& movable =
        move.from == EngineRole::kPrefill ? state.movable_prefill : state.movable_decode;
    movable.erase(movable.begin());
  }
  plan.explanations.push_back(std::move(explanation));
}

}  // namespace cypresswall::planning
