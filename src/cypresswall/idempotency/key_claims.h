/// At-most-once execution of requests that carry an idempotency key: a key is claimed before its
/// request is forwarded, and the claim is stored by a quorum of the voters of the zone that owns
/// the key.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::idempotency {

enum class ClaimVerdict : std::uint8_t {
  kGranted,        ///< this caller, and no other, may run the request
  kCompleted,      ///< the request ran; the recorded answer is returned
  kInProgress,     ///< another attempt holds the claim and has not reported its outcome
  kDifferentBody,  ///< the key was used for a different request
  kUncertain,      ///< it cannot be determined whether a request with this key ran
  kUnavailable,    ///< no claim was made: no quorum or holder of the key's zone can be reached
};

struct ClaimAnswer {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  /// With kCompleted: the recorded answer; empty if it was too large to store.
  std::string recorded_answer;
  common::Duration retry_after{0};
};

class KeyClaims {
 public:
  virtual ~KeyClaims() = default;
  /// Claims `key` for a request whose content has `digest`. The callback is called exactly once,
  /// never before the call returns. After kUnavailable, the lease holder may have stored the claim
  /// nonetheless, without any caller being allowed to run the request. Later claims on the key get
  /// kInProgress, or kUncertain if the claiming node has ended.
  virtual void claim(const std::string& key, std::uint64_t digest,
                     std::function<void(ClaimAnswer)> callback) = 0;
  /// Records the answer of a granted claim, for later requests with the same key.
  virtual void complete(const std::string& key, std::string answer) = 0;
  /// Releases a granted claim because the request certainly did not run.
  virtual void release(const std::string& key) = 0;
};

}  // namespace cypresswall::idempotency
