/// Limits and timeouts of request execution.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Moves of slow streams to other engines (see StreamMoves).
struct StreamMoveSettings {
  /// If false, streams stay at their engine whatever their pace.
  bool enabled = false;
  /// Fraction of a service's retry budget that moves may use in each of its windows; the rest is
  /// kept for streams that break. The fleet's moves are thus at most this fraction of its repeats.
  double budget_share = 0.25;
  /// Time between two checks of a running stream's pace.
  common::Duration check_interval = std::chrono::milliseconds(500);
  /// Number of times that a request asks for another engine before it stays where it is.
  std::uint32_t maximum_asks = 3;
  /// If more than this share of the recent output of a model at this node was too slow, the engines
  /// are overloaded rather than one of them slow, and no stream is moved.
  double overload_share = 0.5;
};

/// Retry, time-out and admission parameters of model and service requests.
struct ExecutionSettings {
  /// Maximum number of attempts of one request that ran or may have run on a back end. A service or
  /// operation can declare another maximum.
  std::uint32_t maximum_runs = 4;
  /// Maximum number of attempts of one request that provably did not run, because they were refused
  /// or not sent.
  std::uint32_t maximum_unrun_attempts = 8;
  /// True for platforms that count every request that reaches a back end, even if the back end
  /// refuses it. A refused attempt then counts as a run, and the attempt that follows it is charged
  /// to the retry budget.
  bool charge_refused_attempts = false;
  /// Delay before the second retry of a request; the first retry is sent immediately. The delay
  /// doubles with each further retry up to `backoff_maximum`, and jitter reduces it by up to one
  /// half.
  common::Duration backoff_base = std::chrono::milliseconds(10);
  common::Duration backoff_maximum = std::chrono::milliseconds(200);
  /// If true, a model request is admitted only if its first token is predicted within
  /// `planned_target_share` of the first-token target that operators declared for the service. If
  /// false, the target is ignored and only the first-token limit applies.
  bool admits_within_target = true;
  /// Fraction of the first-token target within which the first token must be predicted if
  /// `admits_within_target` is set; the remainder covers network time and estimation errors. Under
  /// overload, admitting requests up to the first-token limit makes nearly every answer miss the
  /// target; admitting them against the target delivers 1.5 times as many answers on time.
  double planned_target_share = 0.85;
  /// An attempt that has not delivered a first token is abandoned, if a retry is possible, after
  /// `first_token_stall_factor` times the predicted first-token time plus
  /// `first_token_stall_margin`, but not before `first_token_stall_share` (a fraction) of the
  /// service's first-token limit.
  double first_token_stall_factor = 4;
  common::Duration first_token_stall_margin = std::chrono::milliseconds(200);
  double first_token_stall_share = 0.5;
  /// An attempt that delivers no further token is abandoned, if a retry is possible, after
  /// `between_tokens_stall_factor` times the service's limit between tokens, but not before
  /// `between_tokens_stall_floor`.
  double between_tokens_stall_factor = 20;
  common::Duration between_tokens_stall_floor = std::chrono::seconds(2);
  /// Time without progress after which an attempt is abandoned even if no retry is possible, unless
  /// the request has a deadline. If twice the stall limit described above is longer, that time
  /// applies instead.
  common::Duration stall_maximum = std::chrono::seconds(10);
  /// If a stall timer fires more than this long after it was due, this process was probably paused.
  /// Received data may then still be unread, so the attempt is not considered stalled.
  common::Duration pause_detection = std::chrono::milliseconds(250);
  /// How long a request may wait at a node that has just started until the node knows the declared
  /// services, and the state of an engine that can take it. Zero refuses such requests at once.
  common::Duration startup_hold{0};
  /// After an engine failed while it delivered an answer, how long the request keeps trying to find
  /// another engine that can resume the answer.
  common::Duration resume_time_limit = std::chrono::seconds(5);
  /// Minimum Retry-After in the answer to a request that is refused because of overload.
  common::Duration minimum_retry_after = std::chrono::milliseconds(100);
  /// Retry-After if no estimate is available.
  common::Duration default_retry_after = std::chrono::seconds(1);
  /// If the claim of an idempotency key is granted later than this after it was requested, it is
  /// not used. Must be far shorter than the time for which claims are retained, so that a claim in
  /// use cannot expire.
  common::Duration claim_use_limit = std::chrono::seconds(10);
  /// Maximum number of ended requests whose records are kept for operator queries; applies
  /// separately to model requests and to service requests.
  std::size_t retained_request_records = 1000;
  /// Maximum size, in bytes, of an answer that is recorded under an idempotency key. A longer
  /// answer is recorded as empty; a repeated request then receives an error instead of the answer.
  std::size_t maximum_recorded_bytes = 16U << 10;
  StreamMoveSettings stream_moves;
};

}  // namespace cypresswall::execution
