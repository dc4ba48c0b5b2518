#include "bench/simulate/scenario.h"

#include <algorithm>

namespace cypresswall::bench {
namespace {

double rateIn(const LoadPoint& point, const std::string& kind) {
  const auto rate = point.rates.find(kind);
  return rate == point.rates.end() ? 0 : rate->second;
}

}  // namespace

double Scenario::rateAt(const std::string& kind, common::Duration at) const {
  const LoadPoint* before = nullptr;
  for (const LoadPoint& point : load) {
    if (point.at <= at) {
      before = &point;
      continue;
    }
    if (before == nullptr) {
      return 0;
    }
    const double share =
        common::toSeconds(at - before->at) / common::toSeconds(point.at - before->at);
    return rateIn(*before, kind) + share * (rateIn(point, kind) - rateIn(*before, kind));
  }
  return before == nullptr ? 0 : rateIn(*before, kind);
}

double Scenario::peakRate(const std::string& kind) const {
  double peak = 0;
  for (const LoadPoint& point : load) {
    peak = std::max(peak, rateIn(point, kind));
  }
  return peak;
}

}  // namespace cypresswall::bench
