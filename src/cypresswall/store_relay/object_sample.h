/// A sample of a topic's objects that all nodes of a zone choose alike, so that what a node holds
/// is bounded when the fleet has far more engines than its load needs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cypresswall/common/prompt.h"

namespace cypresswall::store_relay {

/// Bounds of the number of sampled objects.
struct SampleBounds {
  /// The sample is halved while it has more objects than this; zero means that all objects are
  /// kept.
  std::size_t maximum = 0;

  bool unlimited() const { return maximum == 0; }
  /// \return the size below which the sample is doubled. Half of what remains after halving a full
  ///   sample would be a quarter of the maximum; the distance between the two limits keeps the
  ///   level stable.
  std::size_t minimum() const { return maximum * kMinimumPercent / 100; }

 private:
  static constexpr std::size_t kMinimumPercent = 35;
};

/// Level L keeps each object with probability 1/2^L, by the hash of its name. The sample of a
/// higher level is a subset of that of a lower level. Level 0 keeps all.
class ObjectSample {
 public:
  static constexpr std::uint32_t kMaximumLevel = 20;

  std::uint32_t level() const { return level_; }
  void setLevel(std::uint32_t level) { level_ = level < kMaximumLevel ? level : kMaximumLevel; }
  bool contains(const std::string& name) const {
    return level_ == 0 || (common::hash64(name) & ((std::uint64_t{1} << level_) - 1)) == 0;
  }

 private:
  std::uint32_t level_ = 0;
};

}  // namespace cypresswall::store_relay
