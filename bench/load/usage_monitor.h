/// Measures processes during a phase: processor time, and resident memory before and at its peak.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "bench/load/process_usage.h"

namespace cypresswall::bench {

struct UsageOfPhase {
  std::string name;
  int pid = 0;
  common::Duration processor_time{0};
  std::uint64_t resident_before = 0;
  std::uint64_t resident_peak = 0;
  /// False if the process no longer existed at the end of the phase.
  bool alive = true;
};

/// Samples on its own thread between start() and finish().
class UsageMonitor {
 public:
  explicit UsageMonitor(std::vector<WatchedProcess> processes);
  ~UsageMonitor();
  UsageMonitor(const UsageMonitor&) = delete;
  UsageMonitor& operator=(const UsageMonitor&) = delete;

  void start();
  /// \return one entry for each process.
  std::vector<UsageOfPhase> finish();

 private:
  void sample();

  std::vector<WatchedProcess> processes_;
  std::vector<ProcessUsage> before_;
  std::vector<UsageOfPhase> usages_;
  std::atomic<bool> running_ = false;
  std::thread thread_;
};

}  // namespace cypresswall::bench
