#include "cypresswall/routing/output_tracker.h"

#include <cmath>

#include "cypresswall/common/event_log.h"

namespace cypresswall::routing {
namespace {

/// An engine is logged as slow above the first factor on its model's step, until its factor is
/// below the second one.
constexpr double kSlowFactor = 1.6;
constexpr double kRecoveredFactor = 1.25;
/// Engines whose factors differ by less than this ratio are in one class of speed.
constexpr double kSpeedClassRatio = 1.6;
/// Minimum time between two log lines about a model's curve, in seconds.
constexpr double kCurveLogInterval = 10;
constexpr double kMilliseconds = 1000;

common::Counter& samples(common::CounterRegistry& registry, const char* kind) {
  return registry.counter("cypresswall_engine_speed_samples_total",
                          "Outputs from which the speed of an engine was learned", "kind", kind);
}

}  // namespace

OutputTracker::OutputTracker(const RouterSettings& settings, const api::ProcessContext& context,
                             const EngineTable& table, EstimateTable& estimates)
    : settings_(settings),
      context_(context),
      table_(table),
      estimates_(estimates),
      speeds_(settings.engine_speed),
      measured_(samples(context.counters, "measured")),
      completed_(samples(context.counters, "completed")) {}

void OutputTracker::reported(EngineSlot slot) {
  if (!enabled()) {
    return;
  }
  const EngineRecord& record = table_.record(slot);
  const engine_speed::DecodeCurve nominal{common::toSeconds(record.load.decode_step_base),
                                          common::toSeconds(record.load.decode_step_per_stream)};
  speeds_.engineReported(slot,
                         {record.declaration.name, record.load.incarnation, record.load.model,
                          nominal, static_cast<double>(record.load.maximum_streams)},
                         now());
  applySpeed(slot);
  streamsChanged(slot);
}

void OutputTracker::forgetEngine(EngineSlot slot) {
  speeds_.forgetEngine(slot);
  std::erase_if(placed_, [slot](const auto& placed) { return placed.second == slot; });
  estimates_.edit(slot).placed_streams = 0;
}

void OutputTracker::started(const std::string& stream_id, EngineSlot slot, double decode_tokens) {
  if (!enabled()) {
    return;
  }
  ended(stream_id);
  placed_[stream_id] = slot;
  ++estimates_.edit(slot).placed_streams;
  estimates_.refresh(slot);
  streamsChanged(slot);
  const bool measurable = decode_tokens >= settings_.output_speed.minimum_tokens;
  speeds_.streamStarted(stream_id, slot, measurable ? decode_tokens : 0, now());
}

void OutputTracker::promptSent(EngineSlot slot, double seconds) {
  if (enabled()) {
    speeds_.promptSent(slot, seconds);
  }
}

void OutputTracker::firstToken(const std::string& stream_id) {
  speeds_.firstToken(stream_id, now());
}

void OutputTracker::received(const std::string& stream_id, const OutputSample& sample) {
  learned(speeds_.outputMeasured(
              stream_id,
              {static_cast<double>(sample.tokens), common::toSeconds(sample.duration),
               common::toSeconds(sample.longest_pause)},
              now()),
          measured_);
}

void OutputTracker::completed(const std::string& stream_id) {
  learned(speeds_.completed(stream_id, now()), completed_);
}

void OutputTracker::ended(const std::string& stream_id) {
  speeds_.ended(stream_id);
  const auto placed = placed_.extract(stream_id);
  if (placed.empty()) {
    return;
  }
  const EngineSlot slot = placed.mapped();
  --estimates_.edit(slot).placed_streams;
  estimates_.refresh(slot);
  streamsChanged(slot);
}

void OutputTracker::learned(engine_speed::EngineIndex engine, common::Counter& counter) {
  if (engine == engine_speed::DecodeSpeedEstimator::kNoEngine) {
    return;
  }
  counter.add();
  const auto slot = static_cast<EngineSlot>(engine);
  applySpeed(slot);
  logSlowness(slot);
  logCurve(slot);
}

void OutputTracker::applySpeed(EngineSlot slot) {
  const engine_speed::DecodeSpeed speed = speeds_.speed(slot, now());
  EngineEstimate& estimate = estimates_.edit(slot);
  estimate.decode_step_base = speed.curve.base;
  estimate.decode_step_per_stream = speed.curve.per_stream;
  estimate.step_scale = speed.factor;
  estimate.lasting_scale = speed.lasting_factor;
  estimate.tokens_per_delivery = speed.tokens_per_delivery;
  estimates_.refresh(slot);
}

void OutputTracker::streamsChanged(EngineSlot slot) {
  speeds_.setStreams(slot, streamsOn(estimates_.estimate(slot)), now());
}

void OutputTracker::logSlowness(EngineSlot slot) {
  if (slot >= logged_slow_.size()) {
    logged_slow_.resize(static_cast<std::size_t>(slot) + 1);
  }
  const EngineEstimate& estimate = estimates_.estimate(slot);
  const bool slow = estimate.lasting_scale > (logged_slow_[slot] ? kRecoveredFactor : kSlowFactor);
  if (slow == logged_slow_[slot]) {
    return;
  }
  logged_slow_[slot] = slow;
  common::LogEvent(context_.log, common::LogLevel::kInfo,
                   slow ? "engine_output_slow" : "engine_output_recovered")
      .field("engine", table_.record(slot).declaration.name)
      .field("factor", estimate.lasting_scale)
      .field("streams", streamsOn(estimate));
}

void OutputTracker::logCurve(EngineSlot slot) {
  const common::ModelName& model = table_.record(slot).load.model;
  const auto [logged, first] = curve_logged_at_.try_emplace(model, now());
  if (first || now() - logged->second < kCurveLogInterval) {
    return;
  }
  logged->second = now();
  const EngineEstimate& estimate = estimates_.estimate(slot);
  const double scale = estimate.tokens_per_delivery * kMilliseconds;
  const engine_speed::ModelRatios& ratios = speeds_.ratios(model);
  common::LogEvent(context_.log, common::LogLevel::kInfo, "decode_curve")
      .field("model", model)
      .field("base_ms", estimate.decode_step_base * scale)
      .field("per_stream_ms", estimate.decode_step_per_stream * scale)
      .field("tokens_per_delivery", estimate.tokens_per_delivery)
      .field("pause_ratio", std::exp(ratios.pauses.meanLog()))
      .field("pause_deviation", ratios.pauses.deviationLog())
      .field("prompt_pause_ms", speeds_.promptPause(model) * kMilliseconds);
}

OutputRisk OutputTracker::risk(const common::ModelName& model) const {
  const engine_speed::ModelRatios& ratios = speeds_.ratios(model);
  OutputRisk risk;
  risk.pauses = ratios.pauses;
  risk.durations = ratios.durations;
  risk.prompt_pause = speeds_.promptPause(model);
  risk.weight = settings_.late_output_weight;
  return risk;
}

int OutputTracker::speedClass(EngineSlot slot) const {
  const double factor = estimates_.estimate(slot).lasting_scale;
  return static_cast<int>(std::lround(std::log(factor) / std::log(kSpeedClassRatio)));
}

}  // namespace cypresswall::routing
