/// Random numbers, injected so that a run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace cypresswall::common {

/// Source of uniformly distributed 64-bit numbers.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  virtual std::uint64_t next() = 0;

  /// \return a number in [0, bound); zero if `bound` is zero.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  /// \return a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// Mersenne Twister with a fixed seed.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cypresswall::common
