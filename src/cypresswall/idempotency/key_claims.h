/// At-most-once execution of requests that carry an idempotency key: a key is claimed before its
/// request is sent on, and the claim is held by a quorum of the voters of the zone that owns the
/// key.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::idempotency {

enum class ClaimVerdict : std::uint8_t {
  kGranted,        ///< this caller, and nobody else, may run the request
  kCompleted,      ///< it ran; the recorded answer is given
  kInProgress,     ///< another attempt holds the claim and has not said how it ended
  kDifferentBody,  ///< the key was used for another request
  kUncertain,      ///< earlier claims were lost; whether the key ran can't be known
  kUnavailable,    ///< no claim was made: no quorum or holder of the key's zone can be reached
};

struct ClaimAnswer {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  /// With kCompleted: the recorded answer, as recorded; empty if it was too large to keep.
  std::string recorded_answer;
  common::Duration retry_after{0};
};

class KeyClaims {
 public:
  virtual ~KeyClaims() = default;
  /// Claims `key` for a request whose content has `digest`. The callback is called exactly once,
  /// never before the call returns. kUnavailable after the claim was sent may leave a claim that
  /// is never granted to anyone: later claims of the key get kInProgress, then kUncertain.
  virtual void claim(const std::string& key, std::uint64_t digest,
                     std::function<void(ClaimAnswer)> callback) = 0;
  /// Records the answer of a granted claim, for callers that ask again.
  virtual void complete(const std::string& key, std::string answer) = 0;
  /// Gives a granted claim back because the request surely did not run.
  virtual void release(const std::string& key) = 0;
};

}  // namespace cypresswall::idempotency
