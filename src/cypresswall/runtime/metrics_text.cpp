#include "cypresswall/runtime/metrics_text.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <vector>

namespace cypresswall::runtime {
namespace {

using Entry = common::CounterRegistry::Entry;

prometheus::ClientMetric metricOf(const Entry& entry, const std::string& label, double value) {
  prometheus::ClientMetric metric;
  if (!entry.label_name.empty()) {
    metric.label.push_back({entry.label_name, label});
  }
  if (entry.kind == common::CounterKind::kCounter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  return metric;
}

prometheus::MetricFamily familyOf(const std::string& name, const Entry& entry) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = entry.help;
  family.type = entry.kind == common::CounterKind::kCounter ? prometheus::MetricType::Counter
                                                            : prometheus::MetricType::Gauge;
  for (const auto& [label, counter] : entry.by_label) {
    family.metric.push_back(metricOf(entry, label, counter->value()));
  }
  return family;
}

double secondsOf(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

/// \return resident memory in bytes, from the second field of /proc/self/statm (in pages).
double residentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

std::string metricsText(const common::CounterRegistry& registry) {
  std::vector<prometheus::MetricFamily> families;
  families.reserve(registry.entries().size());
  for (const auto& [name, entry] : registry.entries()) {
    families.push_back(familyOf(name, entry));
  }
  return prometheus::TextSerializer().Serialize(families);
}

void updateProcessMetrics(common::CounterRegistry& registry) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  registry.gauge("process_cpu_seconds", "User and system processor time used, in seconds.")
      .set(secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime));
  registry.gauge("process_resident_memory_bytes", "Resident memory, in bytes.")
      .set(residentBytes());
}

}  // namespace cypresswall::runtime
