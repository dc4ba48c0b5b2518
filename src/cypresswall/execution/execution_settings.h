/// Limits and timeouts of request execution.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Retry, time-out and admission parameters of model and service requests.
struct ExecutionSettings {
  /// Maximum attempts of one request that may have run on a back end.
  std::uint32_t maximum_runs = 4;
  /// Maximum attempts of one request that provably did not run (refused or not sent).
  std::uint32_t maximum_unrun_attempts = 8;
  /// Counts refused attempts as runs and charges the following attempt to the retry budget, for
  /// platforms that count every request that reaches a back end.
  bool charge_refused_attempts = false;
  /// Delay before the second retry; the first is sent immediately. The delay doubles with each
  /// further retry, and jitter reduces it by up to one half.
  common::Duration backoff_base = std::chrono::milliseconds(10);
  common::Duration backoff_maximum = std::chrono::milliseconds(200);
  /// If false, requests are admitted by the first-token time limit alone and the first-token target
  /// set by operators is ignored.
  bool admits_within_target = true;
  /// Fraction of the first-token target within which the first token must be predicted for a
  /// request to be admitted; the remainder covers network time and estimation error. Under
  /// overload, queueing up to the first-token limit makes nearly every answer miss the target;
  /// admitting against the target delivers 1.5 times as many answers on time.
  double planned_target_share = 0.85;
  /// An attempt without a first token is abandoned, if the retry budget allows a retry, after this
  /// multiple of the predicted first-token time plus the margin, but not before this fraction of
  /// the first-token limit.
  double first_token_stall_factor = 4;
  common::Duration first_token_stall_margin = std::chrono::milliseconds(200);
  double first_token_stall_share = 0.5;
  /// Stall timeout between tokens: a multiple of the inter-token limit, but at least the floor.
  double between_tokens_stall_factor = 20;
  common::Duration between_tokens_stall_floor = std::chrono::seconds(2);
  /// Time without progress after which an attempt is abandoned even without budget for a retry.
  common::Duration stall_maximum = std::chrono::seconds(10);
  /// A timer that fires later than this indicates that this process was paused, so that received
  /// data may still be unread.
  common::Duration pause_detection = std::chrono::milliseconds(250);
  /// How long a partially delivered answer waits for another engine after its engine failed.
  common::Duration resume_time_limit = std::chrono::seconds(5);
  /// Minimum Retry-After of an overload refusal.
  common::Duration minimum_retry_after = std::chrono::milliseconds(100);
  /// Retry-After if no estimate is available.
  common::Duration default_retry_after = std::chrono::seconds(1);
  /// Maximum age, counted from the claim request, at which a granted idempotency-key claim is still
  /// used. Must be far below the retention time of claims.
  common::Duration claim_use_limit = std::chrono::seconds(10);
  /// Finished requests kept for operator queries, separately for models and for services.
  std::size_t retained_request_records = 1000;
  /// Maximum size of the recorded answer of an operation with an idempotency key.
  std::size_t maximum_recorded_bytes = 16U << 10;
};

}  // namespace cypresswall::execution
