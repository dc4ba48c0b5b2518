#include "cypresswall/quarantine/crash_history.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace cypresswall::quarantine {
namespace {

/// Weight of a crash before any output, in units of one after output began.
constexpr std::size_t kWeightWithoutOutput = 2;
/// Maximum number of crashes that are stored for one request or part.
constexpr std::size_t kMaximumCrashes = 16;
/// Bounds the later parts that are remembered, including those of crashes that are no longer
/// stored.
constexpr std::size_t kLaterPartsPerRequest = 4;
/// Maximum difference between the wall clocks of two nodes. An engine takes longer to restart.
constexpr common::Duration kClockTolerance = std::chrono::seconds(2);

std::size_t weightOf(const CrashObservation& crash) {
  return crash.output_began ? 1 : kWeightWithoutOutput;
}

bool contains(const std::vector<common::RequestFingerprint>& parts,
              common::RequestFingerprint part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

void addMissing(std::vector<common::RequestFingerprint>& parts,
                const std::vector<common::RequestFingerprint>& added) {
  for (const common::RequestFingerprint part : added) {
    if (parts.size() < kMaximumOtherParts && !contains(parts, part)) {
      parts.push_back(part);
    }
  }
}

/// A crash and the parts that are more likely to have caused it than the part that is examined.
struct ExplainedCrash {
  std::size_t weight = 0;
  std::vector<common::RequestFingerprint> narrower_parts;
};

/// \return the narrower part that most of the crashes have; zero if they have none
common::RequestFingerprint mostFrequentPart(const std::vector<ExplainedCrash>& crashes) {
  std::map<common::RequestFingerprint, std::size_t> frequency;
  for (const ExplainedCrash& crash : crashes) {
    for (const common::RequestFingerprint part : crash.narrower_parts) {
      ++frequency[part];
    }
  }
  const auto most =
      std::max_element(frequency.begin(), frequency.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == frequency.end() ? 0 : most->first;
}

/// Of the crashes that have a narrower part in common, the heaviest one counts. The parts that most
/// crashes have come first, so that few of them explain all crashes.
std::size_t combinedWeight(std::vector<ExplainedCrash> crashes) {
  std::size_t weight = 0;
  while (const common::RequestFingerprint part = mostFrequentPart(crashes)) {
    std::size_t heaviest = 0;
    std::erase_if(crashes, [&](const ExplainedCrash& crash) {
      const bool explained = contains(crash.narrower_parts, part);
      heaviest = explained ? std::max(heaviest, crash.weight) : heaviest;
      return explained;
    });
    weight += heaviest;
  }
  for (const ExplainedCrash& crash : crashes) {
    weight += crash.weight;
  }
  return weight;
}

}  // namespace

void CrashHistory::add(common::RequestFingerprint request, const CrashObservation& crash,
                       common::MonotonicTime now) {
  if (!requests_.contains(request)) {
    evictOldest();
  }
  Entry& entry = requests_[request];
  std::erase_if(entry.crashes, [&](const CrashObservation& old) { return !recent(old, now); });
  entry.last = std::max(entry.last, crash.at);
  const auto known =
      std::find_if(entry.crashes.begin(), entry.crashes.end(),
                   [&](const CrashObservation& other) { return same(other, crash); });
  if (known != entry.crashes.end()) {
    // Several prompts with the part ran on the engine, and any of their parts may be the cause.
    known->output_began = known->output_began && crash.output_began;
    addMissing(known->earlier_parts, crash.earlier_parts);
    addMissing(known->later_parts, crash.later_parts);
    recordLaterParts(*known);
  } else if (hasRoomFor(entry.crashes, crash)) {
    entry.crashes.push_back(crash);
    recordLaterParts(crash);
  }
}

void CrashHistory::restore(const RequestCrashes& stored, common::MonotonicTime now) {
  const auto known = recentCrashes(stored.request, now);
  for (const CrashObservation& crash : stored.crashes) {
    const bool is_known = std::any_of(known.begin(), known.end(), [&](const auto& other) {
      return other.engine == crash.engine &&
             std::chrono::abs(other.at - crash.at) < kClockTolerance;
    });
    if (!is_known && recent(crash, now)) {
      add(stored.request, crash, now);
    }
  }
}

void CrashHistory::recordLaterParts(const CrashObservation& crash) {
  later_parts_.insert(crash.later_parts.begin(), crash.later_parts.end());
  if (later_parts_.size() <= kLaterPartsPerRequest * settings_.maximum_tracked_requests) {
    return;
  }
  later_parts_.clear();
  for (const auto& [request, entry] : requests_) {
    for (const CrashObservation& stored : entry.crashes) {
      later_parts_.insert(stored.later_parts.begin(), stored.later_parts.end());
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
    return other.later_parts == crash.later_parts && other.earlier_parts == crash.earlier_parts &&
           other.output_began == crash.output_began;
  });
  return static_cast<std::size_t>(alike) * weightOf(crash) <
             settings_.crashes * kWeightWithoutOutput &&
         crashes.size() < kMaximumCrashes;
}

std::vector<common::RequestFingerprint> CrashHistory::exonerate(common::RequestFingerprint part) {
  std::vector<common::RequestFingerprint> parts_before;
  if (later_parts_.erase(part) == 0) {
    return parts_before;
  }
  for (auto& [request, entry] : requests_) {
    bool changed = false;
    for (CrashObservation& crash : entry.crashes) {
      changed = std::erase(crash.later_parts, part) != 0 || changed;
    }
    if (changed) {
      parts_before.push_back(request);
    }
  }
  return parts_before;
}

std::size_t CrashHistory::crashes(common::RequestFingerprint request,
                                  common::MonotonicTime now) const {
  return recentCrashes(request, now).size();
}

bool CrashHistory::mightSuffice(common::RequestFingerprint request,
                                common::MonotonicTime now) const {
  std::size_t weight = 0;
  for (const CrashObservation& crash : recentCrashes(request, now)) {
    weight += weightOf(crash);
  }
  return weight >= settings_.crashes * kWeightWithoutOutput;
}

bool CrashHistory::suffices(common::RequestFingerprint request, const AnsweredParts& answers,
                            common::MonotonicTime now) const {
  std::vector<ExplainedCrash> crashes;
  for (const CrashObservation& crash : recentCrashes(request, now)) {
    crashes.push_back({weightOf(crash), narrowerParts(request, crash, answers)});
  }
  return combinedWeight(std::move(crashes)) >= settings_.crashes * kWeightWithoutOutput;
}

std::vector<common::RequestFingerprint> CrashHistory::narrowerParts(
    common::RequestFingerprint part, const CrashObservation& crash,
    const AnsweredParts& answers) const {
  const auto before = crash.at - settings_.answer_validity;
  const bool answered = answers.answeredSince(part, before);
  std::vector<common::RequestFingerprint> narrower;
  for (const common::RequestFingerprint other : crash.later_parts) {
    const bool less_likely = !answered && answers.answeredSince(other, before);
    if (!less_likely && !answers.answeredSince(other, crash.at)) {
      narrower.push_back(other);
    }
  }
  for (const common::RequestFingerprint other : crash.earlier_parts) {
    if (answered && !answers.answeredSince(other, before)) {
      narrower.push_back(other);
    }
  }
  return narrower;
}

std::vector<common::RequestFingerprint> CrashHistory::otherParts(
    common::RequestFingerprint part) const {
  std::set<common::RequestFingerprint> parts;
  const auto found = requests_.find(part);
  if (found != requests_.end()) {
    for (const CrashObservation& crash : found->second.crashes) {
      parts.insert(crash.earlier_parts.begin(), crash.earlier_parts.end());
      parts.insert(crash.later_parts.begin(), crash.later_parts.end());
    }
  }
  return {parts.begin(), parts.end()};
}

std::vector<CrashObservation> CrashHistory::recentCrashes(common::RequestFingerprint request,
                                                          common::MonotonicTime now) const {
  std::vector<CrashObservation> crashes;
  const auto found = requests_.find(request);
  if (found != requests_.end()) {
    std::copy_if(found->second.crashes.begin(), found->second.crashes.end(),
                 std::back_inserter(crashes),
                 [&](const CrashObservation& crash) { return recent(crash, now); });
  }
  return crashes;
}

common::MonotonicTime CrashHistory::firstCrash(common::RequestFingerprint request,
                                               common::MonotonicTime now) const {
  common::MonotonicTime first = now;
  for (const CrashObservation& crash : recentCrashes(request, now)) {
    first = std::min(first, crash.at);
  }
  return first;
}

std::vector<EngineCrash> CrashHistory::all(common::RequestFingerprint request,
                                           common::MonotonicTime now) const {
  std::vector<EngineCrash> crashes;
  for (const CrashObservation& crash : recentCrashes(request, now)) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
    crashes.push_back({crash.engine, static_cast<std::uint32_t>(age.count()), crash.output_began,
                       crash.later_parts.empty() ? 0 : crash.later_parts.front(),
                       crash.earlier_parts, crash.later_parts});
  }
  return crashes;
}

std::vector<RequestCrashes> CrashHistory::all(common::MonotonicTime now) const {
  std::vector<RequestCrashes> all;
  for (const auto& [request, entry] : requests_) {
    if (auto crashes = recentCrashes(request, now); !crashes.empty()) {
      all.push_back({request, std::move(crashes)});
    }
  }
  std::sort(all.begin(), all.end(), [](const RequestCrashes& a, const RequestCrashes& b) {
    return std::make_tuple(b.crashes.size(), b.crashes.back().at, b.request) <
           std::make_tuple(a.crashes.size(), a.crashes.back().at, a.request);
  });
  return all;
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
