/// The requests that were answered lately.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// A ring of the newest ones. Adding is cheap and done for each answer; looking up goes through all
/// of them and is done for each request that is to be kept away.
class AnsweredRequests {
 public:
  explicit AnsweredRequests(const QuarantineSettings& settings) : settings_(settings) {}

  void add(common::RequestFingerprint request, common::MonotonicTime now) {
    if (ring_.size() < settings_.answered) {
      ring_.push_back({request, now});
      return;
    }
    ring_[next_] = {request, now};
    next_ = (next_ + 1) % ring_.size();
  }
  /// \return true if the request was answered within QuarantineSettings::proof_time
  bool contains(common::RequestFingerprint request, common::MonotonicTime now) const {
    for (const Answered& answered : ring_) {
      if (answered.request == request && now - answered.at < settings_.proof_time) {
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
