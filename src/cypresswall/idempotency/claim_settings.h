/// Settings of the claims on idempotency keys.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::idempotency {

struct ClaimSettings {
  /// How long a key is remembered after its last change, by the lease holder's clock.
  common::Duration retention = std::chrono::minutes(10);
  /// How long a released key's record is kept, so that late doubles of its claim find it.
  common::Duration released_retention = std::chrono::seconds(30);
  common::Duration sweep_interval = std::chrono::seconds(5);
  /// A claim that is not answered is sent again after this time, and given up after claim_timeout,
  /// which leaves time for another node to take the lease over.
  common::Duration resend_interval = std::chrono::milliseconds(150);
  common::Duration claim_timeout = std::chrono::seconds(2);
  /// The same for a claim whose key another zone owns; covers the way there and back.
  common::Duration remote_resend_interval = std::chrono::milliseconds(300);
  /// After a change of the declared zones, keys that changed their owner are uncertain for the
  /// retention and this long, within which every node has the change and requests end.
  common::Duration ownership_margin = std::chrono::minutes(1);
  /// Reports of completed and released claims are sent again until acknowledged, at most this long.
  common::Duration report_interval = std::chrono::milliseconds(300);
  common::Duration report_timeout = std::chrono::seconds(60);
  /// What callers are told after kUnavailable and kInProgress.
  common::Duration retry_after = std::chrono::seconds(1);
  /// Claims beyond this number are refused as kUnavailable.
  std::size_t maximum_claims = 20000;
  /// A longer answer is not kept; the claim is then completed with an empty one.
  std::size_t maximum_answer_bytes = 2048;
  /// Answers are not kept while those kept take this many bytes.
  std::size_t maximum_total_answer_bytes = 8U << 20;
};

}  // namespace cypresswall::idempotency
