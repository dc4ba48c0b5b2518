#include "cypresswall/execution/stream_moves.h"

#include <cmath>

namespace cypresswall::execution {
namespace {

/// Time after which recorded slowness counts half.
constexpr double kSlownessHalfLifeSeconds = 5;
/// Output time that the learned ratio of actual to expected gaps is averaged over.
constexpr double kCalibrationSeconds = 30;
/// Output time below which the share of slow output is not known.
constexpr double kMinimumSeconds = 1;

common::Counter& refusals(common::CounterRegistry& registry, MoveRefusal refusal) {
  return registry.counter("cypresswall_execution_stream_moves_refused_total",
                          "Streams found too slow that stayed at their engine", "reason",
                          toString(refusal));
}

}  // namespace

const char* toString(MoveRefusal refusal) {
  switch (refusal) {
    case MoveRefusal::kNotResumable:
      return "not-resumable";
    case MoveRefusal::kNoBudget:
      return "no-budget";
    case MoveRefusal::kAllSlow:
      return "all-slow";
    case MoveRefusal::kNoBetterEngine:
      break;
  }
  return "no-better-engine";
}

void ModelPace::record(const routing::OutputSample& sample, common::Duration expected,
                       bool too_slow, common::MonotonicTime now) {
  const double duration = common::toSeconds(sample.duration);
  const double kept = std::exp2(-common::toSeconds(now - recorded_at_) / kSlownessHalfLifeSeconds);
  recorded_at_ = now;
  recent_seconds_ = recent_seconds_ * kept + duration;
  slow_seconds_ = slow_seconds_ * kept + (too_slow ? duration : 0.0);

  const double retention = std::exp(-duration / kCalibrationSeconds);
  tokens_ = tokens_ * retention + sample.tokens;
  seconds_ = seconds_ * retention + duration;
  if (expected > common::Duration{0}) {
    expected_seconds_ = expected_seconds_ * retention + common::toSeconds(expected) * sample.tokens;
    compared_seconds_ = compared_seconds_ * retention + duration;
  }
}

std::optional<common::Duration> ModelPace::gapFor(common::Duration expected) const {
  if (expected > common::Duration{0} && expected_seconds_ > 0) {
    const double factor = compared_seconds_ / expected_seconds_;
    return common::fromSeconds(common::toSeconds(expected) * factor);
  }
  if (tokens_ <= 0) {
    return std::nullopt;
  }
  return common::fromSeconds(seconds_ / tokens_);
}

double ModelPace::slowShare() const {
  return recent_seconds_ < kMinimumSeconds ? 0 : slow_seconds_ / recent_seconds_;
}

StreamMoves::StreamMoves(const StreamMoveSettings& settings, const api::ProcessContext& context)
    : settings_(settings),
      context_(context),
      too_slow_(context.counters.counter(
          "cypresswall_execution_streams_too_slow_total",
          "Streams whose output was expected to miss the request's time limit")),
      moved_(context.counters.counter("cypresswall_execution_stream_moves_total",
                                      "Streams moved to another engine for being too slow")),
      refused_{} {
  for (std::size_t index = 0; index < kMoveRefusals; ++index) {
    refused_[index] = &refusals(context.counters, static_cast<MoveRefusal>(index));
  }
}

std::optional<MoveRefusal> StreamMoves::refusal(const common::ModelName& model,
                                                const fleet_limits::RetryBudget& budget) {
  if (models_[model].slowShare() > settings_.overload_share) {
    return MoveRefusal::kAllSlow;
  }
  if (!shareLeft(budget, 1)) {
    return MoveRefusal::kNoBudget;
  }
  return std::nullopt;
}

bool StreamMoves::shareLeft(const fleet_limits::RetryBudget& budget, std::uint32_t repeats) const {
  const auto paid = paid_.find(budget.service());
  const double used = paid == paid_.end() ? 0 : paid->second.used(context_.clock.now());
  const double allowed = settings_.budget_share * (budget.used() + budget.left());
  return budget.available(repeats) && used + repeats <= allowed;
}

bool StreamMoves::pay(fleet_limits::RetryBudget& budget, std::uint32_t repeats) {
  if (!shareLeft(budget, repeats) || !budget.withdraw(repeats)) {
    return false;
  }
  paid_.try_emplace(budget.service(), budget.window())
      .first->second.use(repeats, context_.clock.now());
  return true;
}

}  // namespace cypresswall::execution
