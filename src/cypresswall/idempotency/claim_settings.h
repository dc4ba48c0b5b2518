/// Settings of claims on idempotency keys.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::idempotency {

struct ClaimSettings {
  /// How long a claim is kept after its last change, by the lease holder's clock.
  common::Duration retention = std::chrono::minutes(10);
  /// How long a released claim is kept, so that late duplicates of its request find the claim.
  common::Duration released_retention = std::chrono::seconds(30);
  common::Duration sweep_interval = std::chrono::seconds(5);
  /// A claim without an answer is sent again at this interval.
  common::Duration resend_interval = std::chrono::milliseconds(150);
  /// A claim without an answer fails after this time, which is long enough for another node to
  /// acquire the lease.
  common::Duration claim_timeout = std::chrono::seconds(2);
  /// Resend interval for a claim on a key that another zone owns; longer than a round trip between
  /// zones.
  common::Duration remote_resend_interval = std::chrono::milliseconds(300);
  /// After a change of the declared zones, claims on keys whose owning zone changed are answered as
  /// uncertain for `retention` plus this margin. The margin leaves time for every node to apply the
  /// change and for running requests to end.
  common::Duration ownership_margin = std::chrono::minutes(1);
  /// Reports of completed and released claims are sent again at this interval until they are
  /// acknowledged.
  common::Duration report_interval = std::chrono::milliseconds(300);
  /// A report that is not acknowledged within this time is given up.
  common::Duration report_timeout = std::chrono::seconds(60);
  /// Retry-after time given to callers with kUnavailable and kInProgress.
  common::Duration retry_after = std::chrono::seconds(1);
  /// Maximum number of claims in the lease holder's table; further claims are refused as
  /// kUnavailable.
  std::size_t maximum_claims = 20000;
  /// Maximum size of a stored answer. If the answer is longer, the claim is completed with an empty
  /// one.
  std::size_t maximum_answer_bytes = 2048;
  /// Maximum total size of the stored answers. An answer that would exceed it is not stored; its
  /// claim is completed with an empty one.
  std::size_t maximum_total_answer_bytes = 8U << 20;
};

}  // namespace cypresswall::idempotency
