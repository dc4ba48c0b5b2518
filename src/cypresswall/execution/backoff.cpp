#include "cypresswall/execution/backoff.h"

#include <algorithm>

namespace cypresswall::execution {
namespace {

/// Beyond this many doublings every pause has reached any sensible maximum.
constexpr std::uint32_t kMaximumDoublings = 16;

}  // namespace

common::Duration backoffBefore(std::uint32_t retry, const ExecutionSettings& settings,
                               common::RandomSource& random) {
  if (retry <= 1) {
    return common::Duration{0};
  }
  const auto doublings = std::min(retry - 2, kMaximumDoublings);
  const auto whole = std::min(settings.backoff_base * (1 << doublings), settings.backoff_maximum);
  const auto half = static_cast<std::uint64_t>(whole.count()) / 2;
  return whole - common::Duration{static_cast<common::Duration::rep>(random.below(half + 1))};
}

}  // namespace cypresswall::execution
