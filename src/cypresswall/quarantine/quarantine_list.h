/// Quarantined requests, each with the time at which its quarantine ends.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/messages.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Bounded by the maximum number of requests and the maximum duration in QuarantineSettings. Does
/// no I/O.
class QuarantineList {
 public:
  explicit QuarantineList(const QuarantineSettings& settings) : settings_(settings) {}

  /// Quarantines the request for `time`; never shortens a quarantine that lasts longer.
  /// \param evidence_since for a part of prompts, the time of the first crash that counts
  /// \return true if the request was not quarantined yet
  bool add(common::RequestFingerprint request, common::Duration time, common::MonotonicTime now,
           std::optional<common::MonotonicTime> evidence_since = std::nullopt);
  void remove(common::RequestFingerprint request) { entries_.erase(request); }
  /// \return the remaining time of the quarantine; nothing if the request is not quarantined
  std::optional<common::Duration> remaining(common::RequestFingerprint request,
                                            common::MonotonicTime now) const;
  /// Removes entries whose quarantine has ended. \return true if there were any
  bool expire(common::MonotonicTime now);
  /// \return all quarantined requests, ordered by fingerprint
  std::vector<QuarantinedRequest> all(common::MonotonicTime now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    common::MonotonicTime until{};
    std::optional<common::MonotonicTime> evidence_since;
  };

  /// \return the value of QuarantinedRequest::evidence_milliseconds
  static std::uint32_t evidenceAge(const Entry& entry, common::MonotonicTime now);
  void evictOldest();

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, Entry> entries_;
};

}  // namespace cypresswall::quarantine
