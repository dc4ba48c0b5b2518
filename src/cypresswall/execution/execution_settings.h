/// Limits and periods of request execution.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// How attempts at model requests and service requests are made and repeated.
struct ExecutionSettings {
  /// Attempts of one request that may have run on a back end.
  std::uint32_t maximum_runs = 4;
  /// Attempts of one request that surely did not run (refused or not sent).
  std::uint32_t maximum_unrun_attempts = 8;
  /// An attempt that a back end refused counts as one of the request's runs, and the next one is
  /// paid for from the retry budget: for platforms that count whatever arrives at a back end.
  bool charge_refused_attempts = false;
  /// The first retry goes out at once, the second after this pause, and each later one after twice
  /// the pause before; each pause is shortened at random by up to a half.
  common::Duration backoff_base = std::chrono::milliseconds(10);
  common::Duration backoff_maximum = std::chrono::milliseconds(200);
  /// Off: requests are admitted by the callers' patience, which is the time limit to the first
  /// token, whatever the operators' target.
  bool admits_within_target = true;
  /// Share of the operators' target within which the first token has to be expected for a request
  /// to be admitted; the rest is time on the way and the error of estimates. Under a load beyond
  /// what engines can compute, a queue up to the callers' patience makes nearly every answer late:
  /// planned within the target, half as many answers again come in time.
  double planned_target_share = 0.85;
  /// An engine silent for this many times its expected first-token time, plus the margin, and for
  /// at least this share of the limit, is given up if a retry can be afforded.
  double first_token_silence_factor = 4;
  common::Duration first_token_silence_margin = std::chrono::milliseconds(200);
  double first_token_stall_share = 0.5;
  /// The same between tokens, as a multiple of the limit and at least the floor.
  double between_tokens_silence_factor = 20;
  common::Duration between_tokens_silence_floor = std::chrono::seconds(2);
  /// Silence after which an attempt is given up even if no retry can be afforded.
  common::Duration silence_maximum = std::chrono::seconds(10);
  /// A timer later than this shows that the process itself was paused: answers may wait unread.
  common::Duration pause_detection = std::chrono::milliseconds(250);
  /// How long an answer that lost its engine half-way looks for another one.
  common::Duration resume_time_limit = std::chrono::seconds(5);
  /// Shortest Retry-After of a refusal for load.
  common::Duration minimum_retry_after = std::chrono::milliseconds(100);
  /// Retry-After where no estimate is known.
  common::Duration default_retry_after = std::chrono::seconds(1);
  /// A granted claim of an idempotency key is used only this long after it was asked for; it must
  /// be far below the time for which claims are kept.
  common::Duration claim_use_limit = std::chrono::seconds(10);
  /// Ended requests that operators can still ask about, for models and for services.
  std::size_t kept_request_records = 1000;
  /// Longest recorded answer of an operation with an idempotency key.
  std::size_t maximum_recorded_bytes = 16U << 10;
};

}  // namespace cypresswall::execution
