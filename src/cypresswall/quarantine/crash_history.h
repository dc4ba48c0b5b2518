/// Engine crashes, grouped by the request that the engine was running.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/messages.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Bounded by the maximum number of requests and the age of crashes in QuarantineSettings. Does no
/// I/O.
class CrashHistory {
 public:
  explicit CrashHistory(const QuarantineSettings& settings) : settings_(settings) {}

  /// Records that an engine crashed at `at` while it ran the request. Reports of one engine for one
  /// request count as one crash if they are less than QuarantineSettings::crash_merge_window apart.
  /// \param engine hash of the engine's name
  void add(common::RequestFingerprint request, std::uint64_t engine, common::MonotonicTime at,
           common::MonotonicTime now);
  /// Removes all crashes under the request. \return false if there were none
  bool forget(common::RequestFingerprint request) { return requests_.erase(request) != 0; }
  /// \return the number of recent engine crashes under the request, at most
  ///   QuarantineSettings::crashes
  std::size_t crashes(common::RequestFingerprint request, common::MonotonicTime now) const;
  /// \return the recent crashes under the request, as sent in a CrashReport
  std::vector<EngineCrash> all(common::RequestFingerprint request, common::MonotonicTime now) const;
  std::size_t size() const { return requests_.size(); }

 private:
  struct Crash {
    std::uint64_t engine = 0;
    common::MonotonicTime at{};
  };
  struct RequestCrashes {
    std::vector<Crash> crashes;
    common::MonotonicTime last{};
  };

  bool recent(const Crash& crash, common::MonotonicTime now) const {
    return now - crash.at < settings_.memory;
  }
  void evictOldest();

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, RequestCrashes> requests_;
};

}  // namespace cypresswall::quarantine
