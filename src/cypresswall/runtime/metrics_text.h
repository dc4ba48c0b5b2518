/// The counters of the process in the Prometheus text format.
#pragma once

#include <string>

#include "cypresswall/common/counters.h"

namespace cypresswall::runtime {

/// Content type of the text format, for the HTTP answer.
inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// \return all entries of `registry`, written by prometheus-cpp's own serializer.
std::string metricsText(const common::CounterRegistry& registry);

/// Sets the gauges of the process itself (processor seconds, resident memory, open files).
void updateProcessMetrics(common::CounterRegistry& registry);

}  // namespace cypresswall::runtime
