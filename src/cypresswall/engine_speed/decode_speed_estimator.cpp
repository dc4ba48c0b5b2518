#include "cypresswall/engine_speed/decode_speed_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cypresswall::engine_speed {
namespace {

/// Assumed before any observation: a stream's longest pause is one and a half times the mean one,
/// with a deviation by the same factor.
constexpr double kAssumedPauseLog = 0.4;
constexpr double kAssumedPauseDeviation = 0.4;
/// Assumed deviation of an answer's duration from the declared number of tokens.
constexpr double kAssumedDurationDeviation = 0.3;
/// Weight of the assumption of one declared token per delivered one, in answers.
constexpr double kAssumedDeliveryWeight = 0.5;

/// Weight of the newest sample in Model::mean_factor_log.
constexpr double kMeanFactorShare = 0.02;

}  // namespace

DecodeSpeedEstimator::Model::Model()
    : tokens_per_delivery(0, 1, kAssumedDeliveryWeight),
      ratios{RatioDistribution(kAssumedPauseLog, kAssumedPauseDeviation),
             RatioDistribution(0, kAssumedDurationDeviation)} {}

DecodeSpeedEstimator::DecodeSpeedEstimator(const EngineSpeedSettings& settings)
    : settings_(settings) {}

DecodeCurveFitSettings DecodeSpeedEstimator::fitSettings() const {
  return {settings_.retention, settings_.prior_samples, settings_.usual_deviation,
          settings_.outlier_factor};
}

EngineFactorSettings DecodeSpeedEstimator::factorSettings() const {
  return {settings_.factor_half_life, settings_.spell_half_life, settings_.factor_prior_samples};
}

DecodeSpeedEstimator::Engine& DecodeSpeedEstimator::engineAt(EngineIndex engine) {
  if (engine >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(engine) + 1);
  }
  return engines_[engine];
}

const DecodeSpeedEstimator::Engine* DecodeSpeedEstimator::find(EngineIndex engine) const {
  return engine < engines_.size() && engines_[engine].reported ? &engines_[engine] : nullptr;
}

const DecodeSpeedEstimator::Model* DecodeSpeedEstimator::modelOf(const Engine& engine) const {
  const auto found = models_.find(engine.facts.model);
  return found == models_.end() ? nullptr : &found->second;
}

void DecodeSpeedEstimator::engineReported(EngineIndex index, const EngineFacts& facts, double now) {
  Engine& engine = engineAt(index);
  const bool known = engine.reported && engine.facts.name == facts.name &&
                     engine.facts.incarnation == facts.incarnation;
  if (!known) {
    engine.factor = EngineFactor();
    engine.means = EngineMeans();
    const auto stored = stored_.extract(facts.name);
    if (!stored.empty() && stored.mapped().incarnation == facts.incarnation) {
      const StoredFactor& factor = stored.mapped();
      engine.factor.restore(factor.factor, factor.samples, factor.age, now, factorSettings());
    }
  }
  if (!known || engine.facts.model != facts.model) {
    engine.facts = facts;
  }
  engine.reported = true;
  Model& model = models_[facts.model];
  if (!std::exchange(model.nominal_known, true)) {
    model.fit.setNominal(facts.nominal, facts.maximum_streams);
  }
}

void DecodeSpeedEstimator::forgetEngine(EngineIndex index) {
  if (index < engines_.size()) {
    engines_[index] = Engine();
    std::erase_if(streams_, [index](const auto& stream) { return stream.second.engine == index; });
  }
}

void DecodeSpeedEstimator::setStreams(EngineIndex engine, double streams, double now) {
  engineAt(engine).activity.setStreams(streams, now);
}

void DecodeSpeedEstimator::promptSent(EngineIndex index, double seconds) {
  if (!(seconds > 0)) {
    return;
  }
  Engine& engine = engineAt(index);
  engine.activity.addPrompt(seconds);
  if (const auto model = models_.find(engine.facts.model); model != models_.end()) {
    Model& sums = model->second;
    sums.prompt_seconds = settings_.retention * sums.prompt_seconds + seconds;
    sums.prompt_squares = settings_.retention * sums.prompt_squares + seconds * seconds;
  }
}

void DecodeSpeedEstimator::streamStarted(const std::string& stream_id, EngineIndex engine,
                                         double declared_tokens, double now) {
  Stream stream;
  stream.engine = engine;
  stream.declared_tokens = declared_tokens;
  stream.mark = engineAt(engine).activity.mark(now);
  streams_[stream_id] = stream;
}

void DecodeSpeedEstimator::firstToken(const std::string& stream_id, double now) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) {
    return;
  }
  Stream& stream = found->second;
  stream.begun = true;
  stream.began_at = now;
  stream.mark = engineAt(stream.engine).activity.mark(now);
}

double DecodeSpeedEstimator::withoutPrompts(const Engine& engine, const Stream& stream,
                                            double seconds) const {
  const double prompts = engine.activity.promptSeconds(stream.mark);
  return seconds - std::min(prompts, settings_.maximum_prompt_share * seconds);
}

void DecodeSpeedEstimator::learn(Engine& engine, Model& model, const StepSample& sample,
                                 double now) {
  const double factor = engine.factor.lasting(now, factorSettings());
  model.mean_factor_log += kMeanFactorShare * (std::log(factor) - model.mean_factor_log);
  model.fit.add(sample, factor / std::exp(model.mean_factor_log), engine.means, fitSettings());
  engine.means.add(sample);
  const double expected = model.fit.curve().seconds(sample.streams);
  if (expected > 0) {
    engine.factor.add(sample.step / expected, sample.weight, sample.seconds, now, factorSettings());
  }
}

EngineIndex DecodeSpeedEstimator::outputMeasured(const std::string& stream_id,
                                                 const MeasuredOutput& output, double now) {
  const auto found = streams_.find(stream_id);
  const bool usable = output.tokens >= 1 && output.seconds > 0 && std::isfinite(output.seconds);
  if (found == streams_.end() || !usable) {
    return kNoEngine;
  }
  Stream& stream = found->second;
  Engine& engine = engineAt(stream.engine);
  const auto known = models_.find(engine.facts.model);
  if (!engine.reported || known == models_.end()) {
    return kNoEngine;
  }
  Model& model = known->second;
  if (!std::exchange(model.measured, true)) {
    // What was learned before counted declared tokens.
    model.fit = DecodeCurveFit();
    model.fit.setNominal(engine.facts.nominal, engine.facts.maximum_streams);
    for (Engine& other : engines_) {
      if (other.facts.model == engine.facts.model) {
        other.factor = EngineFactor();
        other.means = EngineMeans();
      }
    }
  }
  StepSample sample;
  sample.streams = engine.activity.meanStreams(stream.mark, now);
  sample.step = withoutPrompts(engine, stream, output.seconds) / output.tokens;
  sample.seconds = output.seconds;
  learn(engine, model, sample, now);
  const double expected =
      model.fit.curve().seconds(sample.streams) * engine.factor.lasting(now, factorSettings());
  if (output.tokens >= settings_.minimum_pause_tokens && expected > 0) {
    model.ratios.pauses.add(output.longest_pause / expected, settings_.retention);
  }
  stream.delivered += output.tokens;
  stream.measured_seconds += output.seconds;
  stream.mark = engine.activity.mark(now);
  return stream.engine;
}

void DecodeSpeedEstimator::learnUnmeasured(Engine& engine, Model& model, const Stream& stream,
                                           double now) {
  const double seconds = now - stream.began_at;
  if (!stream.begun || seconds <= 0 || stream.declared_tokens <= 1) {
    return;
  }
  StepSample sample;
  sample.streams = engine.activity.meanStreams(stream.mark, now);
  sample.step = withoutPrompts(engine, stream, seconds) / (stream.declared_tokens - 1) *
                tokensPerDelivery(model);
  sample.weight = model.measured ? settings_.unmeasured_weight : 1;
  sample.seconds = seconds;
  learn(engine, model, sample, now);
}

EngineIndex DecodeSpeedEstimator::completed(const std::string& stream_id, double now) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) {
    return kNoEngine;
  }
  const Stream stream = found->second;
  streams_.erase(found);
  Engine& engine = engineAt(stream.engine);
  const auto known = models_.find(engine.facts.model);
  if (!engine.reported || known == models_.end() || stream.declared_tokens <= 0) {
    return kNoEngine;
  }
  Model& model = known->second;
  if (stream.delivered <= 0) {
    learnUnmeasured(engine, model, stream, now);
    return stream.engine;
  }
  model.tokens_per_delivery.add(stream.declared_tokens / (stream.delivered + 1),
                                settings_.retention);
  const double expected_per_token = model.fit.curve().seconds(engine.activity.streams()) *
                                    engine.factor.lasting(now, factorSettings());
  const double expected = stream.declared_tokens / tokensPerDelivery(model) * expected_per_token;
  if (expected > 0) {
    model.ratios.durations.add(stream.measured_seconds / expected, settings_.retention);
  }
  return stream.engine;
}

double DecodeSpeedEstimator::tokensPerDelivery(const Model& model) const {
  return model.measured ? std::exp(model.tokens_per_delivery.meanLog()) : 1;
}

DecodeSpeed DecodeSpeedEstimator::speed(EngineIndex index, double now) const {
  DecodeSpeed speed;
  const Engine* const engine = find(index);
  const Model* const model = engine != nullptr ? modelOf(*engine) : nullptr;
  if (model == nullptr) {
    return speed;
  }
  speed.tokens_per_delivery = tokensPerDelivery(*model);
  speed.curve = model->fit.curve();
  speed.curve.base /= speed.tokens_per_delivery;
  speed.curve.per_stream /= speed.tokens_per_delivery;
  speed.lasting_factor = engine->factor.lasting(now, factorSettings());
  speed.factor = speed.lasting_factor * std::max(1.0, engine->factor.spell(now, factorSettings()));
  return speed;
}

const ModelRatios& DecodeSpeedEstimator::ratios(const common::ModelName& model) const {
  static const ModelRatios kAssumed = Model().ratios;
  const auto found = models_.find(model);
  return found == models_.end() ? kAssumed : found->second.ratios;
}

double DecodeSpeedEstimator::promptPause(const common::ModelName& model) const {
  const auto found = models_.find(model);
  const bool known = found != models_.end() && found->second.prompt_seconds > 0;
  return known ? found->second.prompt_squares / found->second.prompt_seconds : 0;
}

std::vector<EngineSpeedView> DecodeSpeedEstimator::view(double now) const {
  std::vector<EngineSpeedView> views;
  for (const Engine& engine : engines_) {
    const Model* const model = engine.reported ? modelOf(engine) : nullptr;
    if (model == nullptr) {
      continue;
    }
    EngineSpeedView view;
    view.engine = engine.facts.name;
    view.model = engine.facts.model;
    view.curve = model->fit.curve();
    view.factor = engine.factor.lasting(now, factorSettings());
    view.spell = engine.factor.spell(now, factorSettings());
    view.streams = engine.activity.streams();
    view.expected_step = view.curve.seconds(view.streams) * view.factor * view.spell;
    view.samples = engine.factor.samples(now, factorSettings());
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace cypresswall::engine_speed
