/// When prompts with a part were last answered.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/common/time.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Bounded: beyond QuarantineSettings::maximum_answered_parts, the parts that were answered before
/// QuarantineSettings::answer_validity are forgotten, and then all.
class AnsweredParts {
 public:
  explicit AnsweredParts(const QuarantineSettings& settings) : settings_(settings) {}

  void add(common::RequestFingerprint part, common::MonotonicTime now) {
    if (answered_.size() >= settings_.maximum_answered_parts && !answered_.contains(part)) {
      makeRoom(now);
    }
    common::MonotonicTime& last = answered_[part];
    last = std::max(last, now);
  }
  /// \return when a prompt with the part was last answered; nothing if that is not known
  std::optional<common::MonotonicTime> lastAnswer(common::RequestFingerprint part) const {
    const auto found = answered_.find(part);
    return found == answered_.end() ? std::nullopt : std::make_optional(found->second);
  }
  /// \return true if a prompt with the part was answered at `since` or later
  bool answeredSince(common::RequestFingerprint part, common::MonotonicTime since) const {
    const auto last = lastAnswer(part);
    return last && *last >= since;
  }

 private:
  void makeRoom(common::MonotonicTime now) {
    std::erase_if(answered_, [&](const auto& entry) {
      return now - entry.second >= settings_.answer_validity;
    });
    if (answered_.size() >= settings_.maximum_answered_parts) {
      answered_.clear();
    }
  }

  const QuarantineSettings settings_;
  std::unordered_map<common::RequestFingerprint, common::MonotonicTime> answered_;
};

}  // namespace cypresswall::quarantine
