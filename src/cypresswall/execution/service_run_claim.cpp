/// Use of idempotency-key claims by service requests.
#include <algorithm>
#include <utility>

#include "cypresswall/common/prompt.h"
#include "cypresswall/execution/recorded_answer.h"
#include "cypresswall/execution/service_run.h"

namespace cypresswall::execution {

void ServiceRun::claimKey() {
  claim_sent_ = core_.process.clock.now();
  core_.interfaces.claims.claim(claimName(), claimDigest(),
                                [weak = weak_from_this()](const idempotency::ClaimAnswer& answer) {
                                  if (const auto self = weak.lock()) {
                                    self->onClaim(answer);
                                  }
                                });
}

void ServiceRun::onClaim(const idempotency::ClaimAnswer& answer) {
  if (closed_) {
    return;
  }
  const auto retry_after = std::max(answer.retry_after, core_.settings.default_retry_after);
  switch (answer.verdict) {
    case idempotency::ClaimVerdict::kGranted:
      onGranted();
      return;
    case idempotency::ClaimVerdict::kCompleted:
      answerFromRecord(answer);
      return;
    case idempotency::ClaimVerdict::kInProgress:
      failAs(Outcome::kUnknown, ErrorKind::kInProgress,
             "an earlier request with this idempotency key has not ended", retry_after);
      return;
    case idempotency::ClaimVerdict::kDifferentBody:
      failAs(Outcome::kNotRun, ErrorKind::kKeyReused,
             "the idempotency key was used for another request", common::Duration{0});
      return;
    case idempotency::ClaimVerdict::kUncertain:
      failAs(Outcome::kUnknown, ErrorKind::kBackendFailed,
             "whether the request with this idempotency key ran can't be known", retry_after);
      return;
    case idempotency::ClaimVerdict::kUnavailable:
      failAs(Outcome::kNotRun, ErrorKind::kNoBackend,
             "the idempotency key can't be claimed at present", retry_after);
      return;
  }
}

/// Ensures that the operation runs at most once, even if this process pauses between the grant and
/// the sending of the request. The nodes that store a claim grant it to one request and to no other
/// while they retain it. If they lose it, they can no longer tell whether the key was used (the key
/// is uncertain) and grant no further claim. They discard claims only long after `claim_use_limit`.
/// A grant that is processed more than `claim_use_limit` after it was requested is not used, and
/// the claim is not released either, because it may no longer belong to this request. If the
/// process pauses between this check and the sending of the request, the retention time of claims
/// and the idempotency key in the request's headers still protect against a second run.
void ServiceRun::onGranted() {
  const auto age = core_.process.clock.now() - claim_sent_;
  if (age > core_.settings.claim_use_limit) {
    core_.counters.late_grants.add();
    failAs(Outcome::kNotRun, ErrorKind::kDeadlineExceeded,
           "the claim of the idempotency key came too late", core_.settings.default_retry_after);
    return;
  }
  claim_held_ = true;
  setDeadline();
  nextAttempt();
}

void ServiceRun::answerFromRecord(const idempotency::ClaimAnswer& answer) {
  auto recorded = decodeRecordedAnswer(answer.recorded_answer);
  if (recorded) {
    finish(std::move(*recorded));
    return;
  }
  failAs(Outcome::kDone, ErrorKind::kBackendFailed,
         "the request ran before; its answer was too large to be kept", common::Duration{0});
}

std::string ServiceRun::claimName() const {
  return request_.tenant + "\n" + request_.service + "\n" + request_.idempotency_key;
}

std::uint64_t ServiceRun::claimDigest() const {
  const auto target = common::hash64(request_.target, common::hash64(request_.method));
  return common::hash64(request_.body, target);
}

/// Releases the claim if the operation provably did not run; otherwise records the answer under the
/// key. An unknown outcome is recorded as well, so that a repeated request receives this outcome
/// and the operation is not run again.
void ServiceRun::settleClaim(const ServiceCallAnswer& answer) {
  if (!std::exchange(claim_held_, false)) {
    return;
  }
  if (answer.outcome == Outcome::kNotRun) {
    core_.interfaces.claims.release(claimName());
    return;
  }
  core_.interfaces.claims.complete(
      claimName(), encodeRecordedAnswer(answer, core_.settings.maximum_recorded_bytes));
}

}  // namespace cypresswall::execution
