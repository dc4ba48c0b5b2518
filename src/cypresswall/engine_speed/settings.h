/// Settings of the learned model of decode steps.
#pragma once

#include <cstddef>

namespace cypresswall::engine_speed {

struct EngineSpeedSettings {
  /// If false, nothing is learned and every engine has the nominal step.
  bool enabled = false;
  /// Each sample of a model multiplies the weight of the model's previous samples by this factor,
  /// for an effective window of about 300 samples.
  double retention = 0.997;
  /// Weight of the shape of the nominal step (its growth with the number of streams), as an
  /// equivalent number of samples. It decides only while samples of few different numbers of
  /// streams are known.
  double prior_samples = 0.3;
  /// Samples that deviate from the expected step by up to this share have full weight; the weight
  /// decreases with larger deviations.
  double usual_deviation = 0.2;
  /// Samples are clamped to the expected step divided or multiplied by this factor.
  double outlier_factor = 6;
  /// Weight of the samples of completed answers whose output was not measured, relative to measured
  /// ones. Their number of tokens is only the caller's estimate.
  double unmeasured_weight = 0.1;
  /// Half-life in seconds of the weight of a sample in an engine's own factor. An engine that
  /// receives no streams returns to the model's curve, and so is tried again.
  double factor_half_life = 4;
  /// The same for the part of the factor that follows short spells.
  double spell_half_life = 0.25;
  /// Weight of the model's curve in an engine's factor, as an equivalent number of samples.
  double factor_prior_samples = 1;
  /// Samples with fewer tokens tell nothing about the longest pause.
  double minimum_pause_tokens = 4;
  /// Part of a sample's time that at most counts as computation of prompts between its steps.
  double maximum_prompt_share = 0.6;
  /// Bounds of the state that encode() writes and restore() accepts.
  std::size_t maximum_stored_models = 16;
  std::size_t maximum_stored_engines = 512;
};

}  // namespace cypresswall::engine_speed
