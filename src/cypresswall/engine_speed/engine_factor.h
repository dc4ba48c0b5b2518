/// How much slower one engine is than its model's curve.
#pragma once

namespace cypresswall::engine_speed {

struct EngineFactorSettings {
  double half_life = 0;
  double spell_half_life = 0;
  double prior_samples = 0;
};

/// Product of a lasting factor and one for short spells. Both are means of the logarithm of the
/// observed ratios, in which the weight of a sample decreases with its age, and so return to 1
/// without samples. The spell's weight decreases within a fraction of a second.
class EngineFactor {
 public:
  /// \param ratio measured to expected duration of a step, positive
  /// \param seconds duration of the sample, which ended at `now`
  void add(double ratio, double weight, double seconds, double now,
           const EngineFactorSettings& settings);
  /// \return the lasting factor
  double lasting(double now, const EngineFactorSettings& settings) const;
  /// \return the factor of the current spell
  double spell(double now, const EngineFactorSettings& settings) const;
  /// \return the decayed number of samples
  double samples(double now, const EngineFactorSettings& settings) const;
  /// Continues from a factor that was learned `age` seconds ago.
  void restore(double factor, double samples, double age, double now,
               const EngineFactorSettings& settings);

 private:
  struct DecayingMean {
    double sum = 0;
    double weight = 0;
    double updated_at = 0;

    void add(double value, double added_weight, double now, double half_life);
    double mean(double now, double half_life, double prior) const;
    double weightAt(double now, double half_life) const;
  };

  DecayingMean lasting_;
  DecayingMean spell_;
};

}  // namespace cypresswall::engine_speed
