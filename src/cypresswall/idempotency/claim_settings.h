/// Settings of claims on idempotency keys.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::idempotency {

struct ClaimSettings {
  /// Retention of a claim after its last change, by the lease holder's clock.
  common::Duration retention = std::chrono::minutes(10);
  /// Retention of a released claim, so that late duplicates of its request find it.
  common::Duration released_retention = std::chrono::seconds(30);
  common::Duration sweep_interval = std::chrono::seconds(5);
  /// A claim without an answer is sent again at this interval and fails after claim_timeout, which
  /// leaves time for another node to acquire the lease.
  common::Duration resend_interval = std::chrono::milliseconds(150);
  common::Duration claim_timeout = std::chrono::seconds(2);
  /// The resend interval for a key that another zone owns; exceeds the round trip between zones.
  common::Duration remote_resend_interval = std::chrono::milliseconds(300);
  /// After a change of the declared zones, claims on keys whose owner changed are answered as
  /// uncertain for the retention plus this margin, within which every node applies the change and
  /// running requests end.
  common::Duration ownership_margin = std::chrono::minutes(1);
  /// Reports of completed and released claims are sent again at this interval until they are
  /// acknowledged, for at most report_timeout.
  common::Duration report_interval = std::chrono::milliseconds(300);
  common::Duration report_timeout = std::chrono::seconds(60);
  /// Retry-after time given to callers with kUnavailable and kInProgress.
  common::Duration retry_after = std::chrono::seconds(1);
  /// Claims beyond this number are refused as kUnavailable.
  std::size_t maximum_claims = 20000;
  /// A longer answer is not stored; the claim is then completed with an empty one.
  std::size_t maximum_answer_bytes = 2048;
  /// Answers that would raise the total size of stored answers above this are not stored.
  std::size_t maximum_total_answer_bytes = 8U << 20;
};

}  // namespace cypresswall::idempotency
