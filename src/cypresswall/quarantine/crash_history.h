/// Engine crashes, grouped by the request that the engine was running.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/answered_parts.h"
#include "cypresswall/quarantine/messages.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Maximum number of parts of one list of a CrashObservation.
inline constexpr std::size_t kMaximumOtherParts = 16;

/// A crash of an engine under a request or a part of its prompt; see EngineCrash.
struct CrashObservation {
  std::uint64_t engine = 0;
  bool output_began = false;
  common::MonotonicTime at{};
  /// See EngineCrash; the parts of all prompts with the part that ran on the engine.
  std::vector<common::RequestFingerprint> earlier_parts;
  std::vector<common::RequestFingerprint> later_parts;
};

/// All recent crashes under one request or part.
struct RequestCrashes {
  common::RequestFingerprint request = 0;
  std::vector<CrashObservation> crashes;
};

/// Bounded by the maximum number of requests and the age of crashes in QuarantineSettings. Does no
/// I/O.
class CrashHistory {
 public:
  explicit CrashHistory(const QuarantineSettings& settings) : settings_(settings) {}

  /// Records that an engine crashed while it ran the request. Reports of one engine for one request
  /// are one crash if they are less than QuarantineSettings::crash_merge_window apart.
  void add(common::RequestFingerprint request, const CrashObservation& crash,
           common::MonotonicTime now);
  /// Records crashes that were read from the store. A crash of an engine that is known already is
  /// the same one, although the clocks of the nodes differ.
  void restore(const RequestCrashes& stored, common::MonotonicTime now);
  /// Records that prompts with the part were answered, so that the part did not cause the recorded
  /// crashes. \return the parts that stood before it in crashes, whose evidence is stronger now
  std::vector<common::RequestFingerprint> exonerate(common::RequestFingerprint part);
  /// Removes all crashes under the request. \return false if there were none
  bool forget(common::RequestFingerprint request) { return requests_.erase(request) != 0; }
  /// \return the number of recent engine crashes under the request that are stored
  std::size_t crashes(common::RequestFingerprint request, common::MonotonicTime now) const;
  /// \return true if the recent crashes would suffice if no other part explained them
  bool mightSuffice(common::RequestFingerprint request, common::MonotonicTime now) const;
  /// \return true if the recent crashes suffice to quarantine the request. Crashes under a part of
  ///   prompts that have a narrower part in common (see narrowerParts()) count as one: that part
  ///   explains them better.
  /// \param answers known answers to prompts with parts
  bool suffices(common::RequestFingerprint request, const AnsweredParts& answers,
                common::MonotonicTime now) const;
  /// \return the other parts in the crashes under the part
  std::vector<common::RequestFingerprint> otherParts(common::RequestFingerprint part) const;
  /// \return the time of the first recent crash; `now` if there is none
  common::MonotonicTime firstCrash(common::RequestFingerprint request,
                                   common::MonotonicTime now) const;
  /// \return the recent crashes under the request, as sent in a CrashReport
  std::vector<EngineCrash> all(common::RequestFingerprint request, common::MonotonicTime now) const;
  /// \return all recent crashes, those under the requests with most crashes first
  std::vector<RequestCrashes> all(common::MonotonicTime now) const;
  std::size_t size() const { return requests_.size(); }

 private:
  struct Entry {
    std::vector<CrashObservation> crashes;
    common::MonotonicTime last{};
  };

  bool recent(const CrashObservation& crash, common::MonotonicTime now) const {
    return now - crash.at < settings_.memory;
  }
  /// \return true if both report the same crash of one engine
  bool same(const CrashObservation& left, const CrashObservation& right) const;
  /// \return true if a further crash could change the decision of suffices()
  bool hasRoomFor(const std::vector<CrashObservation>& crashes,
                  const CrashObservation& crash) const;
  void evictOldest();
  void recordLaterParts(const CrashObservation& crash);
  /// \return the parts that are more likely than `part` to have caused the crash. Parts of which
  ///   nobody knows an answer shortly before the crash come before those that were answered, and
  ///   among either, those that stand later in the prompt, as fewer prompts have them. A part that
  ///   was answered since did not cause the crash.
  std::vector<common::RequestFingerprint> narrowerParts(common::RequestFingerprint part,
                                                        const CrashObservation& crash,
                                                        const AnsweredParts& answers) const;
  std::vector<CrashObservation> recentCrashes(common::RequestFingerprint request,
                                              common::MonotonicTime now) const;

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, Entry> requests_;
  /// The later parts of the stored crashes, and some of crashes that are no longer stored: most
  /// answers exonerate nothing, which is found out without a search.
  std::unordered_set<common::RequestFingerprint> later_parts_;
};

}  // namespace cypresswall::quarantine
