#include "cypresswall/execution/backoff.h"

#include <algorithm>

namespace cypresswall::execution {
namespace {

/// Maximum number of times that the delay is doubled. Prevents an overflow of the shift; the delay
/// reaches any practical `backoff_maximum` before that.
constexpr std::uint32_t kMaximumDoublings = 16;

}  // namespace

common::Duration backoffBefore(std::uint32_t retry, const ExecutionSettings& settings,
                               common::RandomSource& random) {
  if (retry <= 1) {
    return common::Duration{0};
  }
  const auto doublings = std::min(retry - 2, kMaximumDoublings);
  const auto full = std::min(settings.backoff_base * (1 << doublings), settings.backoff_maximum);
  const auto half = static_cast<std::uint64_t>(full.count()) / 2;
  return full - common::Duration{static_cast<common::Duration::rep>(random.below(half + 1))};
}

}  // namespace cypresswall::execution
