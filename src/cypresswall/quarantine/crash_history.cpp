#include "cypresswall/quarantine/crash_history.h"

#include <algorithm>

namespace cypresswall::quarantine {
namespace {

/// Weight of a crash before any output, in units of one after output began.
constexpr std::size_t kWeightWithoutOutput = 2;

}  // namespace

void CrashHistory::add(common::RequestFingerprint request, const CrashObservation& crash,
                       common::MonotonicTime now) {
  if (!requests_.contains(request)) {
    evictOldest();
  }
  RequestCrashes& entry = requests_[request];
  std::erase_if(entry.crashes, [&](const CrashObservation& old) { return !recent(old, now); });
  entry.last = std::max(entry.last, crash.at);
  const auto known =
      std::find_if(entry.crashes.begin(), entry.crashes.end(),
                   [&](const CrashObservation& other) { return same(other, crash); });
  if (known != entry.crashes.end()) {
    // Several copies of the request ran on the engine.
    known->output_began = known->output_began && crash.output_began;
  } else if (entry.crashes.size() < settings_.crashes * kWeightWithoutOutput) {
    // Crashes beyond the threshold need not be stored, since they do not change the decision.
    entry.crashes.push_back(crash);
  }
}

bool CrashHistory::same(const CrashObservation& left, const CrashObservation& right) const {
  const auto apart = left.at > right.at ? left.at - right.at : right.at - left.at;
  const bool same_engine = left.engine == right.engine && apart < settings_.crash_merge_window;
  return same_engine || (left.next_part != 0 && left.next_part == right.next_part);
}

std::size_t CrashHistory::crashes(common::RequestFingerprint request,
                                  common::MonotonicTime now) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return 0;
  }
  const auto& crashes = found->second.crashes;
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [&](const CrashObservation& crash) { return recent(crash, now); }));
}

bool CrashHistory::suffices(common::RequestFingerprint request, common::MonotonicTime now) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return false;
  }
  std::size_t weight = 0;
  for (const CrashObservation& crash : found->second.crashes) {
    if (recent(crash, now)) {
      weight += crash.output_began ? 1 : kWeightWithoutOutput;
    }
  }
  return weight >= settings_.crashes * kWeightWithoutOutput;
}

common::MonotonicTime CrashHistory::firstCrash(common::RequestFingerprint request,
                                               common::MonotonicTime now) const {
  common::MonotonicTime first = now;
  const auto found = requests_.find(request);
  if (found != requests_.end()) {
    for (const CrashObservation& crash : found->second.crashes) {
      first = recent(crash, now) ? std::min(first, crash.at) : first;
    }
  }
  return first;
}

std::vector<EngineCrash> CrashHistory::all(common::RequestFingerprint request,
                                           common::MonotonicTime now) const {
  std::vector<EngineCrash> crashes;
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return crashes;
  }
  for (const CrashObservation& crash : found->second.crashes) {
    if (recent(crash, now)) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
      crashes.push_back({crash.engine, static_cast<std::uint32_t>(age.count()), crash.output_began,
                         crash.next_part});
    }
  }
  return crashes;
}

void CrashHistory::evictOldest() {
  if (requests_.size() < settings_.maximum_tracked_requests) {
    return;
  }
  requests_.erase(
      std::min_element(requests_.begin(), requests_.end(),
                       [](const auto& a, const auto& b) { return a.second.last < b.second.last; }));
}

}  // namespace cypresswall::quarantine
