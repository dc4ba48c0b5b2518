/// Source from which emulated engines load model weights.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cypresswall/common/time.h"

namespace cypresswall::emulation {

/// Result of a transfer of weights.
struct WeightTransfer {
  bool complete = false;
  std::uint64_t bytes = 0;
  /// If the source refused the transfer because of its load: time after which to retry.
  common::Duration retry_after{0};
};

class WeightSource {
 public:
  virtual ~WeightSource() = default;
  /// Transfers the weights at `uri`. The callback is called exactly once, when the transfer is
  /// complete or refused, never before the call returns.
  virtual void fetch(const std::string& uri, std::function<void(WeightTransfer)> callback) = 0;
};

}  // namespace cypresswall::emulation
