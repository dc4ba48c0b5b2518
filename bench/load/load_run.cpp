#include "bench/load/load_run.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace cypresswall::bench {
namespace {

/// Each phase has its own range of request numbers, so that no prompt repeats within a run.
constexpr std::uint64_t kNumbersPerPhase = 100'000'000;

/// Runs one phase on all threads.
LoadResult runPhase(const LoadRunSettings& settings, const LoadTarget& target,
                    std::uint64_t phase) {
  std::vector<std::unique_ptr<LoadGenerator>> generators;
  std::vector<LoadResult> results(settings.threads);
  for (std::uint32_t thread = 0; thread < settings.threads; ++thread) {
    LoadPlan plan = settings.plan;
    plan.requests_per_second /= settings.threads;
    plan.held_streams = plan.held_streams / settings.threads +
                        (thread < plan.held_streams % settings.threads ? 1 : 0);
    plan.seed = plan.seed * 1000 + phase * settings.threads + thread;
    plan.first_number = phase * kNumbersPerPhase + thread;
    plan.number_step = settings.threads;
    generators.push_back(std::make_unique<LoadGenerator>(target, plan));
  }
  std::vector<std::thread> threads;
  for (std::uint32_t thread = 0; thread < settings.threads; ++thread) {
    threads.emplace_back(
        [&generators, &results, thread] { results[thread] = generators[thread]->run(); });
  }
  LoadResult result;
  for (std::uint32_t thread = 0; thread < settings.threads; ++thread) {
    threads[thread].join();
    result.merge(results[thread]);
  }
  return result;
}

void addUsages(std::vector<UsageOfPhase>& sum, const std::vector<UsageOfPhase>& phase) {
  if (sum.empty()) {
    sum = phase;
    return;
  }
  for (std::size_t index = 0; index < sum.size(); ++index) {
    sum[index].processor_time += phase[index].processor_time;
    sum[index].resident_peak = std::max(sum[index].resident_peak, phase[index].resident_peak);
    sum[index].alive = sum[index].alive && phase[index].alive;
  }
}

}  // namespace

std::vector<TargetReport> runLoad(const LoadRunSettings& settings,
                                  const std::function<void(const std::string&)>& progress) {
  std::vector<TargetReport> reports;
  for (const LoadTarget& target : settings.targets) {
    reports.push_back({target.name, {}, common::Duration{0}, {}});
  }
  std::uint64_t phase = 0;
  for (std::uint32_t round = 0; round < settings.rounds; ++round) {
    for (std::size_t index = 0; index < settings.targets.size(); ++index) {
      progress("round " + std::to_string(round + 1) + " of " + std::to_string(settings.rounds) +
               ": " + settings.targets[index].name);
      UsageMonitor monitor(settings.watched);
      monitor.start();
      const auto start = std::chrono::steady_clock::now();
      reports[index].result.merge(runPhase(settings, settings.targets[index], phase++));
      reports[index].time +=
          std::chrono::duration_cast<common::Duration>(std::chrono::steady_clock::now() - start);
      addUsages(reports[index].usages, monitor.finish());
    }
  }
  return reports;
}

}  // namespace cypresswall::bench
