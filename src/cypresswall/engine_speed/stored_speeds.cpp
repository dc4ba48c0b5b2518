/// The stored form of what DecodeSpeedEstimator has learned.
#include <algorithm>
#include <cmath>
#include <msgpack.hpp>

#include "cypresswall/common/bounded_unpack.h"
#include "cypresswall/engine_speed/decode_speed_estimator.h"

namespace cypresswall::engine_speed {
namespace {

/// Longer data is not read.
constexpr std::size_t kMaximumBytes = std::size_t{1} << 18U;
/// Largest stored step, in seconds.
constexpr double kMaximumStep = 3600;
constexpr double kMaximumFactor = 100;
constexpr double kMaximumSamples = 1000;
constexpr double kMaximumTokensPerDeliveryDeviation = 3;

struct StoredModel {
  std::string model;
  double base = 0;
  double per_stream = 0;
  bool measured = false;
  double tokens_log = 0;
  double tokens_deviation = 0;
  double pause_log = 0;
  double pause_deviation = 0;
  double duration_log = 0;
  double duration_deviation = 0;

  MSGPACK_DEFINE(model, base, per_stream, measured, tokens_log, tokens_deviation, pause_log,
                 pause_deviation, duration_log, duration_deviation)

  bool usable() const {
    const bool curve = base >= 0 && base <= kMaximumStep && per_stream >= 0 &&
                       per_stream <= kMaximumStep && base + per_stream > 0;
    return curve && tokens_deviation <= kMaximumTokensPerDeliveryDeviation;
  }
};

struct StoredEngine {
  std::string engine;
  std::uint64_t incarnation = 0;
  double factor = 1;
  double samples = 0;

  MSGPACK_DEFINE(engine, incarnation, factor, samples)

  bool usable() const {
    return factor >= 1 / kMaximumFactor && factor <= kMaximumFactor && samples > 0 &&
           samples <= kMaximumSamples;
  }
};

struct StoredSpeeds {
  std::vector<StoredModel> models;
  std::vector<StoredEngine> engines;

  MSGPACK_DEFINE(models, engines)
};

}  // namespace

std::string DecodeSpeedEstimator::encode(double now) const {
  StoredSpeeds stored;
  for (const auto& [name, model] : models_) {
    if (!model.fit.learned() || stored.models.size() >= settings_.maximum_stored_models) {
      continue;
    }
    const DecodeCurve& curve = model.fit.curve();
    const ModelRatios& ratios = model.ratios;
    stored.models.push_back({name, curve.base, curve.per_stream, model.measured,
                             model.tokens_per_delivery.meanLog(),
                             model.tokens_per_delivery.deviationLog(), ratios.pauses.meanLog(),
                             ratios.pauses.deviationLog(), ratios.durations.meanLog(),
                             ratios.durations.deviationLog()});
  }
  for (const Engine& engine : engines_) {
    const double samples = engine.factor.samples(now, factorSettings());
    if (!engine.reported || samples < 1 ||
        stored.engines.size() >= settings_.maximum_stored_engines) {
      continue;
    }
    stored.engines.push_back({engine.facts.name, engine.facts.incarnation,
                              engine.factor.lasting(now, factorSettings()),
                              std::min(samples, kMaximumSamples)});
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, stored);
  return {buffer.data(), buffer.size()};
}

bool DecodeSpeedEstimator::restore(const std::string& bytes, common::Duration age) {
  StoredSpeeds stored;
  try {
    if (bytes.size() > kMaximumBytes) {
      return false;
    }
    common::unpackBounded(bytes).get().convert(stored);
  } catch (const std::exception&) {
    return false;
  }
  if (stored.models.size() > settings_.maximum_stored_models ||
      stored.engines.size() > settings_.maximum_stored_engines) {
    return false;
  }
  for (const StoredModel& entry : stored.models) {
    Model& model = models_[entry.model];
    // What was learned since the start is newer.
    if (!entry.usable() || model.fit.learned()) {
      continue;
    }
    model.fit.restore({entry.base, entry.per_stream}, fitSettings());
    model.measured = entry.measured;
    model.tokens_per_delivery.restore(entry.tokens_log, entry.tokens_deviation);
    model.ratios.pauses.restore(entry.pause_log, entry.pause_deviation);
    model.ratios.durations.restore(entry.duration_log, entry.duration_deviation);
  }
  for (const StoredEngine& entry : stored.engines) {
    if (entry.usable()) {
      stored_[entry.engine] = {entry.incarnation, entry.factor, entry.samples,
                               std::max(0.0, common::toSeconds(age))};
    }
  }
  return true;
}

}  // namespace cypresswall::engine_speed
