#include "cypresswall/planning/demand_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <msgpack.hpp>
#include <utility>

#include "cypresswall/common/bounded_unpack.h"

namespace cypresswall::planning {
namespace {

/// Rates are reported as zero until a window's sums have reached this share of their steady-state
/// value: dividing the first counts by a very short time would give rates that are far too high.
constexpr double kMinimumObservedShare = 0.05;
constexpr double kMicrosecondsPerSecond = 1e6;

double secondsOf(std::uint64_t microseconds) {
  return static_cast<double>(microseconds) / kMicrosecondsPerSecond;
}

/// A restored estimator counts as having observed this many windows before its creation.
constexpr int kRestoredWindows = 8;
/// Bounds of restored state. No zone has that many models, and no engine group that much demand.
constexpr std::size_t kMaximumRestoredModels = 1024;
constexpr double kMaximumRestoredRate = 1e12;

constexpr std::size_t kRateFields = 12;
using RateArray = std::array<double, kRateFields>;
/// By model: the rates in the short and in the long window.
using EncodedRates = std::map<common::ModelName, std::pair<RateArray, RateArray>>;

RateArray toArray(const DemandRate& rate) {
  return {rate.requests_per_second,
          rate.prefill_tokens_per_second,
          rate.decode_tokens_per_second,
          rate.long_requests_per_second,
          rate.long_prefill_tokens_per_second,
          rate.prefill_engine_requests_per_second,
          rate.prefill_engine_seconds,
          rate.decode_engine_seconds,
          rate.flexible_prefill_seconds,
          rate.flexible_decode_seconds,
          rate.flexible_decode_requests_per_second,
          rate.output_seconds};
}

DemandRate fromArray(const RateArray& rate) {
  return {rate[0], rate[1], rate[2], rate[3], rate[4],  rate[5],
          rate[6], rate[7], rate[8], rate[9], rate[10], rate[11]};
}

bool possible(const RateArray& rates) {
  return std::all_of(rates.begin(), rates.end(), [](double rate) {
    return std::isfinite(rate) && rate >= 0 && rate <= kMaximumRestoredRate;
  });
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

void DemandEstimator::DecayingSum::addHistory(const DemandRate& rate, double seconds) {
  requests += rate.requests_per_second * seconds;
  prefill_tokens += rate.prefill_tokens_per_second * seconds;
  decode_tokens += rate.decode_tokens_per_second * seconds;
  long_requests += rate.long_requests_per_second * seconds;
  long_prefill_tokens += rate.long_prefill_tokens_per_second * seconds;
  prefill_engine_requests += rate.prefill_engine_requests_per_second * seconds;
  prefill_engine_seconds += rate.prefill_engine_seconds * seconds;
  decode_engine_seconds += rate.decode_engine_seconds * seconds;
  flexible_prefill_seconds += rate.flexible_prefill_seconds * seconds;
  flexible_decode_seconds += rate.flexible_decode_seconds * seconds;
  flexible_decode_requests += rate.flexible_decode_requests_per_second * seconds;
  output_seconds += rate.output_seconds * seconds;
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

std::string DemandEstimator::encode(common::MonotonicTime now) const {
  EncodedRates rates;
  for (const auto& [model, sums] : sums_) {
    const ModelDemand observed = demand(model, now);
    rates[model] = {toArray(observed.short_window), toArray(observed.long_window)};
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, rates);
  return {buffer.data(), buffer.size()};
}

bool DemandEstimator::restore(const std::string& bytes) {
  EncodedRates restored;
  try {
    common::unpackBounded(bytes).get().convert(restored);
  } catch (const std::exception&) {
    return false;
  }
  const bool usable = restored.size() <= kMaximumRestoredModels &&
                      std::all_of(restored.begin(), restored.end(), [](const auto& entry) {
                        return possible(entry.second.first) && possible(entry.second.second);
                      });
  if (!usable) {
    return false;
  }
  // What was observed before the creation has decayed since, as the counts added meanwhile have.
  const auto add = [this](DecayingSum& sum, const RateArray& rates, common::Duration window) {
    sum.updated_at = std::max(sum.updated_at, started_at_);
    const double seconds = common::toSeconds(window);
    const double age = common::toSeconds(sum.updated_at - started_at_);
    sum.addHistory(fromArray(rates), seconds * std::exp(-age / seconds));
  };
  for (const auto& [model, rates] : restored) {
    ModelSums& sums = sums_[model];
    add(sums.short_window, rates.first, settings_.short_window);
    add(sums.long_window, rates.second, settings_.long_window);
  }
  started_at_ -= kRestoredWindows * std::max(settings_.short_window, settings_.long_window);
  return true;
}

}  // namespace cypresswall::planning
