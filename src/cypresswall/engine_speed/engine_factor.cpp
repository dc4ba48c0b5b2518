#include "cypresswall/engine_speed/engine_factor.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::engine_speed {
namespace {

/// Bound of the logarithm of a factor: a factor of 20 either way.
constexpr double kMaximumLog = 3;
constexpr double kHalf = 0.5;
/// Bound of the deviation of one sample from the lasting factor, so that a spell changes it little.
constexpr double kMaximumStepLog = 0.4;
/// Half-life in seconds of the weight of stored factors: engines that differ for good still do so
/// after a restart of a node.
constexpr double kStoredHalfLife = 60;

}  // namespace

double EngineFactor::DecayingMean::weightAt(double now, double half_life) const {
  return weight * std::exp2(-std::max(0.0, now - updated_at) / half_life);
}

void EngineFactor::DecayingMean::add(double value, double added_weight, double now,
                                     double half_life) {
  const double kept = std::exp2(-std::max(0.0, now - updated_at) / half_life);
  sum = kept * sum + added_weight * value;
  weight = kept * weight + added_weight;
  updated_at = std::max(updated_at, now);
}

double EngineFactor::DecayingMean::mean(double now, double half_life, double prior) const {
  const double kept = std::exp2(-std::max(0.0, now - updated_at) / half_life);
  return kept * sum / (kept * weight + prior);
}

void EngineFactor::add(double ratio, double weight, double seconds, double now,
                       const EngineFactorSettings& settings) {
  const double value = std::clamp(std::log(ratio), -kMaximumLog, kMaximumLog);
  const double lasting = lasting_.mean(now, settings.half_life, settings.prior_samples);
  lasting_.add(std::clamp(value, lasting - kMaximumStepLog, lasting + kMaximumStepLog), weight, now,
               settings.half_life);
  // The sample describes the spell at the middle of its time.
  const double age = kHalf * std::max(0.0, seconds);
  const double spell_weight = weight * std::exp2(-age / settings.spell_half_life);
  spell_.add(value - lasting, spell_weight, now, settings.spell_half_life);
}

double EngineFactor::lasting(double now, const EngineFactorSettings& settings) const {
  return std::exp(lasting_.mean(now, settings.half_life, settings.prior_samples));
}

double EngineFactor::spell(double now, const EngineFactorSettings& settings) const {
  return std::exp(spell_.mean(now, settings.spell_half_life, settings.prior_samples));
}

double EngineFactor::samples(double now, const EngineFactorSettings& settings) const {
  return lasting_.weightAt(now, settings.half_life);
}

void EngineFactor::restore(double factor, double samples, double age, double now,
                           const EngineFactorSettings& settings) {
  const double value = std::clamp(std::log(factor), -kMaximumLog, kMaximumLog);
  const double weight = samples * std::exp2(-std::max(0.0, age) / kStoredHalfLife);
  lasting_ = {};
  lasting_.add(value, weight, now, settings.half_life);
}

}  // namespace cypresswall::engine_speed
