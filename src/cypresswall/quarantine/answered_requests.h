/// Requests that were answered recently.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Ring buffer of the most recently answered requests. Adding is cheap and happens for each answer;
/// a look-up scans the whole buffer and happens only for requests that are being quarantined or
/// released from quarantine.
class AnsweredRequests {
 public:
  explicit AnsweredRequests(const QuarantineSettings& settings) : settings_(settings) {}

  void add(common::RequestFingerprint request, common::MonotonicTime now) {
    if (ring_.size() < settings_.maximum_answered_requests) {
      ring_.push_back({request, now});
      return;
    }
    ring_[next_] = {request, now};
    next_ = (next_ + 1) % ring_.size();
  }
  /// \return true if the request was answered within QuarantineSettings::answer_validity
  bool contains(common::RequestFingerprint request, common::MonotonicTime now) const {
    for (const Answered& answered : ring_) {
      if (answered.request == request && now - answered.at < settings_.answer_validity) {
        return true;
      }
    }
    return false;
  }

 private:
  struct Answered {
    common::RequestFingerprint request = 0;
    common::MonotonicTime at{};
  };

  const QuarantineSettings settings_;
  std::vector<Answered> ring_;
  std::size_t next_ = 0;
};

}  // namespace cypresswall::quarantine
