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

/// The operation runs at most once even if this process pauses between grant and send. A claim is
/// granted to one attempt and never again while its holders keep it; if they lose it, the key
/// becomes uncertain and no further claim is granted. Holders expire claims only long after
/// `claim_use_limit`. A grant processed later than that is therefore not used, and not released
/// either, because the claim may no longer belong to this attempt. If the process pauses between
/// this check and the send, the claim retention time and the key in the request header still
/// protect against a second run.
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

/// Releases the claim only if the operation provably did not run. An unknown outcome is recorded
/// like an answer, so that a repeated request receives it and nothing is run again.
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
