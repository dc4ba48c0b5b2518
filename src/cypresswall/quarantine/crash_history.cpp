#include "cypresswall/quarantine/crash_history.h"

#include <algorithm>
#include <map>

namespace cypresswall::quarantine {
namespace {

/// Weight of a crash before any output, in units of one after output began.
constexpr std::size_t kWeightWithoutOutput = 2;
/// Maximum number of crashes that are stored for one request or part.
constexpr std::size_t kMaximumCrashes = 16;
/// Bounds the next parts that are remembered, including those of crashes that are no longer stored.
constexpr std::size_t kNextPartsPerRequest = 4;

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
    // Several copies of the request ran on the engine, or the next part has been exonerated since
    // the earlier report.
    known->output_began = known->output_began && crash.output_began;
    known->next_part = crash.next_part == 0 ? 0 : known->next_part;
  } else if (hasRoomFor(entry.crashes, crash)) {
    entry.crashes.push_back(crash);
    recordNextPart(crash.next_part);
  }
}

void CrashHistory::recordNextPart(common::RequestFingerprint part) {
  if (part == 0) {
    return;
  }
  next_parts_.insert(part);
  if (next_parts_.size() <= kNextPartsPerRequest * settings_.maximum_tracked_requests) {
    return;
  }
  next_parts_.clear();
  for (const auto& [request, entry] : requests_) {
    for (const CrashObservation& crash : entry.crashes) {
      next_parts_.insert(crash.next_part);
    }
  }
}

bool CrashHistory::same(const CrashObservation& left, const CrashObservation& right) const {
  const auto apart = left.at > right.at ? left.at - right.at : right.at - left.at;
  return left.engine == right.engine && apart < settings_.crash_merge_window;
}

bool CrashHistory::hasRoomFor(const std::vector<CrashObservation>& crashes,
                              const CrashObservation& crash) const {
  const auto alike = std::count_if(crashes.begin(), crashes.end(), [&](const auto& other) {
    return other.next_part == crash.next_part && other.output_began == crash.output_began;
  });
  const std::size_t weight = crash.output_began ? 1 : kWeightWithoutOutput;
  return static_cast<std::size_t>(alike) * weight < settings_.crashes * kWeightWithoutOutput &&
         crashes.size() < kMaximumCrashes;
}

std::vector<common::RequestFingerprint> CrashHistory::exonerate(common::RequestFingerprint part) {
  std::vector<common::RequestFingerprint> parts_before;
  if (next_parts_.erase(part) == 0) {
    return parts_before;
  }
  for (auto& [request, entry] : requests_) {
    bool changed = false;
    for (CrashObservation& crash : entry.crashes) {
      if (crash.next_part == part) {
        crash.next_part = 0;
        changed = true;
      }
    }
    if (changed) {
      parts_before.push_back(request);
    }
  }
  return parts_before;
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
  std::map<common::RequestFingerprint, std::size_t> weight_by_next_part;
  for (const CrashObservation& crash : found->second.crashes) {
    if (!recent(crash, now)) {
      continue;
    }
    const std::size_t weight_of_crash = crash.output_began ? 1 : kWeightWithoutOutput;
    if (crash.next_part == 0) {
      weight += weight_of_crash;
    } else {
      auto& heaviest = weight_by_next_part[crash.next_part];
      heaviest = std::max(heaviest, weight_of_crash);
    }
  }
  for (const auto& [next_part, heaviest] : weight_by_next_part) {
    weight += heaviest;
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
