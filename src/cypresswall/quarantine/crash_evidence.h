/// Which engines ended under which requests.
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

/// Bounded in number and age. Does no I/O.
class CrashEvidence {
 public:
  explicit CrashEvidence(const QuarantineSettings& settings) : settings_(settings) {}

  /// Notes that an engine ended under the request at `at`; twice for one end changes nothing.
  /// \param engine hash of its name
  void add(common::RequestFingerprint request, std::uint64_t engine, common::MonotonicTime at,
           common::MonotonicTime now);
  /// \return false if nothing was noted
  bool forget(common::RequestFingerprint request) { return suspects_.erase(request) != 0; }
  /// \return how many engines ended under the request
  std::size_t crashes(common::RequestFingerprint request, common::MonotonicTime now) const;
  /// \return what was noted, for a report
  std::vector<EngineCrash> all(common::RequestFingerprint request, common::MonotonicTime now) const;
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Crash {
    std::uint64_t engine = 0;
    common::MonotonicTime at{};
  };
  struct Suspect {
    std::vector<Crash> crashes;
    common::MonotonicTime last{};
  };

  bool recent(const Crash& crash, common::MonotonicTime now) const {
    return now - crash.at < settings_.memory;
  }
  void makeRoom();

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, Suspect> suspects_;
};

}  // namespace cypresswall::quarantine
