#include "cypresswall/execution/output_meter.h"

#include <algorithm>
#include <utility>

namespace cypresswall::execution {
namespace {

constexpr std::uint32_t kMaximumSampleTokens = 64;
constexpr common::Duration kMaximumSampleDuration = std::chrono::milliseconds(500);

}  // namespace

bool OutputMeter::tokenReceived(common::MonotonicTime now) {
  const auto previous = std::exchange(last_token_at_, now);
  const bool first = !std::exchange(begun_, true);
  if (std::exchange(interrupted_, false) || first) {
    return false;
  }
  const auto pause = now - previous;
  ++sample_.tokens;
  sample_.duration += pause;
  sample_.longest_pause = std::max(sample_.longest_pause, pause);
  return sample_.tokens >= kMaximumSampleTokens || sample_.duration >= kMaximumSampleDuration;
}

routing::OutputSample OutputMeter::take() { return std::exchange(sample_, {}); }

}  // namespace cypresswall::execution
