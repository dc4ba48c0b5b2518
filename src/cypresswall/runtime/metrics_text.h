/// Export of the process's metrics in the Prometheus text format.
#pragma once

#include <string>

#include "cypresswall/common/counters.h"

namespace cypresswall::runtime {

/// Content type of the text format, for the HTTP response.
inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// \return all metrics of `registry`, formatted by prometheus-cpp's serializer.
std::string metricsText(const common::CounterRegistry& registry);

/// Sets the gauges of the process itself (processor seconds, resident memory, open files).
void updateProcessMetrics(common::CounterRegistry& registry);

}  // namespace cypresswall::runtime
