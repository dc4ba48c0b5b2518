#include "bench/load/usage_monitor.h"

#include <algorithm>
#include <utility>

namespace cypresswall::bench {
namespace {

constexpr auto kSamplePeriod = std::chrono::milliseconds(100);

}  // namespace

UsageMonitor::UsageMonitor(std::vector<WatchedProcess> processes)
    : processes_(std::move(processes)) {}

UsageMonitor::~UsageMonitor() {
  running_ = false;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void UsageMonitor::start() {
  before_.clear();
  usages_.clear();
  for (const WatchedProcess& process : processes_) {
    const ProcessUsage usage = readProcessUsage(process.pid).value_or(ProcessUsage{});
    before_.push_back(usage);
    usages_.push_back({process.name, process.pid, common::Duration{0}, usage.resident_bytes,
                       usage.resident_bytes, true});
  }
  running_ = true;
  thread_ = std::thread([this] {
    while (running_) {
      sample();
      std::this_thread::sleep_for(kSamplePeriod);
    }
  });
}

std::vector<UsageOfPhase> UsageMonitor::finish() {
  running_ = false;
  thread_.join();
  sample();
  return usages_;
}

void UsageMonitor::sample() {
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    UsageOfPhase& phase = usages_[index];
    const auto usage = readProcessUsage(phase.pid);
    phase.alive = usage.has_value();
    if (usage) {
      phase.processor_time = usage->processor_time - before_[index].processor_time;
      phase.resident_peak = std::max(phase.resident_peak, usage->resident_bytes);
    }
  }
}

}  // namespace cypresswall::bench
