/// State machine of one model request: makes attempts until the answer is complete or the request
/// fails.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/admission/admission.h"
#include "cypresswall/execution/engine_attempt.h"
#include "cypresswall/execution/model_execution_core.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/model_target.h"
#include "cypresswall/execution/repeat_counter.h"
#include "cypresswall/execution/stall_detector.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// Owned by the caller's handle, and additionally by each event callback for its duration, so that
/// the observer may destroy the handle from within any call.
class ModelRequest final : public std::enable_shared_from_this<ModelRequest>,
                           private EngineAttempt::Listener {
 public:
  ModelRequest(ModelExecutionCore& core, ModelCall call, ModelCallObserver& observer);
  /// Must be called once, after construction. Never calls the observer synchronously.
  void start();
  /// Called when the caller disconnects. The observer is not called again.
  void abandon();
  void pause();
  void resume();

 private:
  void onAttemptRateLimit(const common::RateLimitNotice& notice) override;
  void onAttemptHead(const engines::AnswerHead& head) override;
  void onAttemptToken(std::uint32_t index, const std::string& text) override;
  void onAttemptFinished(const engines::StreamUsage& usage) override;
  void onAttemptFailed(engines::StreamFailure failure, const std::string& message) override;

  /// Fails the request if it is quarantined or its API key was revoked.
  /// \return false if the request was failed
  bool checkPermitted();
  bool admit();
  void nextAttempt();
  void onPlaced(routing::RouteChoice choice);
  routing::RouteRequest routeRequest() const;
  /// \return the time left for the first token, or for the next token of a resumed answer
  common::Duration timeToFirstToken() const;
  /// \return the limit for the first-token prediction of an engine. A request without attempts must
  ///   be predicted to meet the target, because it would only delay other requests otherwise; one
  ///   that has already lost an attempt is worth finishing even if it is late.
  common::Duration plannedFirstTokenLimit() const;
  void setDeadline();
  bool deadlinePassed() const;
  void onDeadline();
  void onRefused(const routing::RouteRefusal& refusal);
  void beginAttempt();
  /// \return the request's total repeats if it is sent along the chosen route
  std::uint32_t repeatsForRoute() const;
  void beginStream(const engines::EngineEndpoint& engine, engines::StreamPhase phase);
  void handOverToDecode();
  void beginDecode();

  /// \pre an attempt is in progress
  const engines::EngineEndpoint& attemptedEngine() const;
  void onAttemptLost(engines::StreamFailure failure, const std::string& message);
  void retryAfterRun(const std::string& message);
  void retryAfterNoRun(engines::StreamFailure failure, const std::string& message);
  /// Counts a refused attempt as a run of the request.
  /// \return false if no further attempt is allowed and the request was failed
  bool chargeRefusal(const std::string& message);
  /// Charges the retry budget for the difference between `repeats` and the repeats charged so far.
  /// \return false if the budget is exhausted and the request was failed
  bool chargeRepeats(std::uint32_t repeats, ErrorKind kind, const std::string& message);
  /// Removes the current attempt from the repeat count because it did not reach its engine.
  void recordNotDelivered();
  /// \return true if an attempt with this failure counts as delivered to its engine
  bool countsAsDelivered(engines::StreamFailure failure) const;
  fleet_limits::RetryBudget& retryBudget() const;
  void scheduleAttempt(common::Duration delay);
  void scheduleStep(common::Duration delay, std::function<void()> step);

  void watchForStall();
  StallDetector::Limits stallLimits() const;
  void onStall(bool hard_limit_exceeded);
  bool retryAffordable() const;
  /// \return true if the current attempt counts as a run of the request
  bool attemptCountsAsRun() const;
  std::uint32_t maximumRuns() const;
  bool resuming() const { return tokens_given_ > 0; }
  /// \return true if another engine can be given the position to resume from. Without a position
  ///   the answer would start over after the tokens that the caller already has.
  bool canResume() const { return !resuming() || !call_.pass_through || !last_token_.empty(); }

  void giveUp(ErrorKind kind, const std::string& message, common::Duration retry_after);
  /// Releases all resources. Does not call the observer.
  void close(const std::string& state);
  void retireAttempt();
  /// Returns the reserved place to the router.
  void releaseRoute();
  void openRecord();
  void recordAttempt();
  void recordResult(const std::string& result);
  void logRoute() const;
  void logRefusal(const routing::RouteRefusal& refusal) const;
  void logPrompt() const;
  void logFirstToken() const;
  std::int64_t millisecondsSinceRouted() const;

  ModelExecutionCore& core_;
  ModelCall call_;
  ModelCallObserver* observer_;
  ModelTarget target_;
  std::string stream_id_;
  std::shared_ptr<RequestRecord> record_;
  std::optional<admission::AdmissionRequest> admitted_;
  common::MonotonicTime first_token_deadline_{};
  common::MonotonicTime resume_until_{};
  /// Time by which the caller gets its final answer or an error; empty without a time limit.
  std::optional<common::MonotonicTime> deadline_;
  common::TimerId deadline_timer_ = 0;
  std::vector<common::EngineName> excluded_;
  std::optional<routing::Route> route_;
  std::unique_ptr<EngineAttempt> attempt_;
  common::MonotonicTime attempt_sent_at_{};
  engines::StreamPhase phase_ = engines::StreamPhase::kWhole;
  StallDetector stall_detector_;
  common::TimerId step_timer_ = 0;
  std::uint32_t tokens_given_ = 0;
  /// Last token that marks a resume position; set only for passed-through answers.
  std::string last_token_;
  RepeatCounter repeat_counter_;
  /// Repeats already charged to the retry budget.
  std::uint32_t charged_repeats_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t unrun_attempts_ = 0;
  /// True while the router has not answered the placement request.
  bool awaiting_placement_ = false;
  bool head_forwarded_ = false;
  bool may_have_run_ = false;
  bool token_seen_in_attempt_ = false;
  /// Set at the first token from any engine, so that usage is recorded once.
  bool usage_recorded_ = false;
  bool paused_ = false;
  bool starting_ = false;
  bool closed_ = false;
};

}  // namespace cypresswall::execution
