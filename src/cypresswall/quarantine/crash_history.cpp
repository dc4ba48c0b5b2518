#include "cypresswall/quarantine/crash_history.h"

#include <algorithm>

namespace cypresswall::quarantine {

void CrashHistory::add(common::RequestFingerprint request, std::uint64_t engine,
                       common::MonotonicTime at, common::MonotonicTime now) {
  if (!requests_.contains(request)) {
    evictOldest();
  }
  RequestCrashes& entry = requests_[request];
  std::erase_if(entry.crashes, [&](const Crash& crash) { return !recent(crash, now); });
  entry.last = std::max(entry.last, at);
  const bool known =
      std::any_of(entry.crashes.begin(), entry.crashes.end(), [&](const Crash& crash) {
        const auto apart = crash.at > at ? crash.at - at : at - crash.at;
        return crash.engine == engine && apart < settings_.crash_merge_window;
      });
  // Crashes beyond the threshold need not be stored, since they do not change the decision.
  if (!known && entry.crashes.size() < settings_.crashes) {
    entry.crashes.push_back({engine, at});
  }
}

std::size_t CrashHistory::crashes(common::RequestFingerprint request,
                                  common::MonotonicTime now) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return 0;
  }
  const auto& crashes = found->second.crashes;
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(), [&](const Crash& crash) { return recent(crash, now); }));
}

std::vector<EngineCrash> CrashHistory::all(common::RequestFingerprint request,
                                           common::MonotonicTime now) const {
  std::vector<EngineCrash> crashes;
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return crashes;
  }
  for (const Crash& crash : found->second.crashes) {
    if (recent(crash, now)) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
      crashes.push_back({crash.engine, static_cast<std::uint32_t>(age.count())});
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
