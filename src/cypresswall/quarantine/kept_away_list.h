/// The requests that are kept from engines, each until some time after it last came.
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

/// Bounded in number and age. Does no I/O.
class KeptAwayList {
 public:
  explicit KeptAwayList(const QuarantineSettings& settings) : settings_(settings) {}

  /// Keeps the request away for `time`, or for as long as it is kept already, if that is longer.
  /// \return true if it was not kept away so far
  bool add(common::RequestFingerprint request, common::Duration time, common::MonotonicTime now);
  void remove(common::RequestFingerprint request) { until_.erase(request); }
  /// \return for how long the request is kept away; nothing if it isn't
  std::optional<common::Duration> left(common::RequestFingerprint request,
                                       common::MonotonicTime now) const;
  /// Lets go of what was kept away for long enough. \return true if there was any
  bool expire(common::MonotonicTime now);
  /// \return all that is kept away, ordered by fingerprint
  std::vector<QuarantinedRequest> all(common::MonotonicTime now) const;
  std::size_t size() const { return until_.size(); }

 private:
  void makeRoom();

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, common::MonotonicTime> until_;
};

}  // namespace cypresswall::quarantine
