#include "cypresswall/quarantine/crash_evidence.h"

#include <algorithm>

namespace cypresswall::quarantine {

void CrashEvidence::add(common::RequestFingerprint request, std::uint64_t engine,
                        common::MonotonicTime at, common::MonotonicTime now) {
  if (!suspects_.contains(request)) {
    makeRoom();
  }
  Suspect& suspect = suspects_[request];
  std::erase_if(suspect.crashes, [&](const Crash& crash) { return !recent(crash, now); });
  suspect.last = std::max(suspect.last, at);
  const bool known =
      std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash& crash) {
        const auto apart = crash.at > at ? crash.at - at : at - crash.at;
        return crash.engine == engine && apart < settings_.same_crash;
      });
  // More than are needed tell nothing more.
  if (!known && suspect.crashes.size() < settings_.crashes) {
    suspect.crashes.push_back({engine, at});
  }
}

std::size_t CrashEvidence::crashes(common::RequestFingerprint request,
                                   common::MonotonicTime now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return 0;
  }
  const auto& crashes = found->second.crashes;
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(), [&](const Crash& crash) { return recent(crash, now); }));
}

std::vector<EngineCrash> CrashEvidence::all(common::RequestFingerprint request,
                                            common::MonotonicTime now) const {
  std::vector<EngineCrash> crashes;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
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

void CrashEvidence::makeRoom() {
  if (suspects_.size() < settings_.suspects) {
    return;
  }
  suspects_.erase(
      std::min_element(suspects_.begin(), suspects_.end(),
                       [](const auto& a, const auto& b) { return a.second.last < b.second.last; }));
}

}  // namespace cypresswall::quarantine
