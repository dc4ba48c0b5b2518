#include "cypresswall/planning/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::planning {
namespace {

/// Rates are reported as zero until a window's sums have reached this share of their steady-state
/// value: dividing the first counts by a very short time would give rates that are far too high.
constexpr double kMinimumObservedShare = 0.05;
constexpr double kMicrosecondsPerSecond = 1e6;

double secondsOf(std::uint64_t microseconds) {
  return static_cast<double>(microseconds) / kMicrosecondsPerSecond;
}

}  // namespace

void DemandEstimator::DecayingSum::decayTo(common::MonotonicTime now, common::Duration window) {
  const double age = common::toSeconds(now - updated_at);
  const double kept = std::exp(-std::max(0.0, age) / common::toSeconds(window));
  requests *= kept;
  prefill_tokens *= kept;
  decode_tokens *= kept;
  long_requests *= kept;
  long_prefill_tokens *= kept;
  prefill_engine_requests *= kept;
  prefill_engine_seconds *= kept;
  decode_engine_seconds *= kept;
  flexible_prefill_seconds *= kept;
  flexible_decode_seconds *= kept;
  flexible_decode_requests *= kept;
  output_seconds *= kept;
  updated_at = now;
}

void DemandEstimator::add(const common::ModelName& model, const DemandCount& count,
                          common::MonotonicTime now) {
  ModelSums& sums = sums_[model];
  for (const auto& [sum, window] : {std::pair(&sums.short_window, settings_.short_window),
                                    std::pair(&sums.long_window, settings_.long_window)}) {
    sum->decayTo(now, window);
    sum->requests += static_cast<double>(count.requests);
    sum->prefill_tokens += static_cast<double>(count.prefill_tokens);
    sum->decode_tokens += static_cast<double>(count.decode_tokens);
    sum->long_requests += static_cast<double>(count.long_requests);
    sum->long_prefill_tokens += static_cast<double>(count.long_prefill_tokens);
    sum->prefill_engine_requests += static_cast<double>(count.prefill_engine_requests);
    sum->prefill_engine_seconds += secondsOf(count.prefill_engine_us);
    sum->decode_engine_seconds += secondsOf(count.decode_engine_us);
    sum->flexible_prefill_seconds += secondsOf(count.flexible_prefill_us);
    sum->flexible_decode_seconds += secondsOf(count.flexible_decode_us);
    sum->flexible_decode_requests += static_cast<double>(count.flexible_decode_requests);
    sum->output_seconds += secondsOf(count.output_us);
  }
}

DemandRate DemandEstimator::rate(DecayingSum sum, common::MonotonicTime now,
                                 common::Duration window) const {
  sum.decayTo(now, window);
  const double seconds = common::toSeconds(window);
  // The sums have reached this share of their steady-state value since this object was created.
  const double seen = 1.0 - std::exp(-common::toSeconds(now - started_at_) / seconds);
  if (seen < kMinimumObservedShare) {
    return {};
  }
  const double scale = 1.0 / (seconds * seen);
  return {sum.requests * scale,
          sum.prefill_tokens * scale,
          sum.decode_tokens * scale,
          sum.long_requests * scale,
          sum.long_prefill_tokens * scale,
          sum.prefill_engine_requests * scale,
          sum.prefill_engine_seconds * scale,
          sum.decode_engine_seconds * scale,
          sum.flexible_prefill_seconds * scale,
          sum.flexible_decode_seconds * scale,
          sum.flexible_decode_requests * scale,
          sum.output_seconds * scale};
}

ModelDemand DemandEstimator::demand(const common::ModelName& model,
                                    common::MonotonicTime now) const {
  ModelDemand demand;
  const auto sums = sums_.find(model);
  if (sums != sums_.end()) {
    demand.short_window = rate(sums->second.short_window, now, settings_.short_window);
    demand.long_window = rate(sums->second.long_window, now, settings_.long_window);
  }
  return demand;
}

}  // namespace cypresswall::planning
