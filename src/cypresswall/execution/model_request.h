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
#include "cypresswall/execution/output_meter.h"
#include "cypresswall/execution/output_pace.h"
#include "cypresswall/execution/repeat_counter.h"
#include "cypresswall/execution/stall_detector.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// The caller's handle owns the request. Each event callback also holds a reference to the request
/// while the callback runs, so that the observer may destroy the handle from within any of its
/// functions.
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

  /// Ends the request with an error if it is quarantined (because engines crash on it) or the
  /// caller's API key was revoked.
  /// \return false if the request was ended
  bool checkPermitted();
  bool admit();
  /// Finds out which software build began the answer that the caller takes up, then begins.
  void findOrigin();
  void onOriginFound(const answer_builds::AnswerOrigin& origin);
  /// Records the software build of the current attempt's engine if it gave the answer's first
  /// token.
  void recordOrigin();
  void nextAttempt();
  /// Ends the request if this node reaches no engine and no engine may have run it. A request that
  /// may have run keeps looking for an engine here, since only this node knows its state.
  /// \return true if the request was ended
  bool endIfPathLost();
  void onPlaced(routing::RouteChoice choice);
  routing::RouteRequest routeRequest() const;
  /// \return the time left for the first token or, if the answer is being resumed, the service's
  ///   full first-token limit for the next token; never more than the time left until the deadline
  common::Duration timeToFirstToken() const;
  /// \return the longest predicted first-token time with which the router may choose an engine.
  ///   Before the first attempt, this is derived from the service's first-token target, because a
  ///   request that misses the target would only delay others. After a failed attempt, it is the
  ///   time left, because the request is worth finishing even if it misses the target.
  common::Duration plannedFirstTokenLimit() const;
  void setDeadline();
  bool deadlinePassed() const;
  void onDeadline();
  void onRefused(const routing::RouteRefusal& refusal);
  void beginAttempt();
  /// \return the total number of repeats of the request (see RepeatCounter) once it has been sent
  ///   to the engine or engines of `route`
  std::uint32_t repeatsFor(const routing::Route& route) const;
  /// Begins the stream of a phase unless its engine takes no new work any more.
  void sendIfTaken(engines::StreamPhase phase);
  void beginStream(const engines::EngineEndpoint& engine, engines::StreamPhase phase);
  void handOverToDecode();
  void beginDecode();

  /// \pre an attempt is in progress
  const engines::EngineEndpoint& attemptedEngine() const;
  quarantine::OutputProgress attemptProgress() const;
  void onAttemptLost(engines::StreamFailure failure, const std::string& message);
  void retryAfterRun(const std::string& message);
  void retryAfterNoRun(engines::StreamFailure failure, const std::string& message);
  /// Counts an attempt that an engine refused as a run, and charges the next attempt to the retry
  /// budget.
  /// \return false if no further attempt is allowed; the request has then been ended with an error
  bool chargeRefusal(const std::string& message);
  /// Charges the repeats that have not been charged yet to the retry budget, so that `repeats` are
  /// charged in total.
  /// \return false if the budget is exhausted; the request has then been ended with an error
  bool chargeRepeats(std::uint32_t repeats, ErrorKind kind, const std::string& message);
  /// Removes the current attempt from the repeat count. To be called if it does not count as
  /// delivered to its engine.
  void recordNotDelivered();
  /// \return true if an attempt that ended with this failure counts as delivered to its engine
  bool countsAsDelivered(engines::StreamFailure failure) const;
  fleet_limits::RetryBudget& retryBudget() const;
  void scheduleAttempt(common::Duration delay);
  void scheduleStep(common::Duration delay, std::function<void()> step);

  /// Checks the pace of the current attempt at regular intervals, from its first token on.
  void watchPace();
  /// Also ends a request for a place at another engine.
  void stopWatchingPace();
  void onPaceCheck();
  /// \return empty until the pace and the usual length of the answers are known
  std::optional<StreamOutlook> outlook() const;
  /// \return empty until the usual length of the answers is known
  std::optional<double> tokensLeft() const;
  void considerMove(const StreamOutlook& outlook);
  /// \return true if the rules for broken streams would let the answer go on at another engine
  bool movable() const;
  bool couldCompleteElsewhere(const StreamOutlook& outlook) const;
  void requestMove(const StreamOutlook& outlook);
  void onMovePlaced(const std::string& placement_id, routing::RouteChoice choice);
  /// \return why the stream stays where it is; empty if the move was paid for
  std::optional<MoveRefusal> payForMove(const routing::Route& route);
  /// Ends the current attempt and continues the answer at the engine of `route`.
  void moveTo(const std::string& placement_id, routing::Route route);
  void recordRefusedMove(MoveRefusal refusal);
  /// Logs that the request ended incomplete because of the pace of its stream, if so.
  void logIfTooSlow() const;
  void logMove(const StreamOutlook& outlook, const routing::Route& route) const;

  void watchForStall();
  StallDetector::Limits stallLimits() const;
  void onStall(bool hard_limit_exceeded);
  bool retryAffordable() const;
  /// \return true if the current attempt counts as a run of the request
  bool attemptCountsAsRun() const;
  /// \return true if the attempt may be sent on a kept connection: a repeat can be paid for, and
  ///   this is not a repeat itself.
  bool mayReuseConnection() const;
  std::uint32_t maximumRuns() const;
  bool resuming() const { return tokens_given_ > 0; }
  /// \return true if the request can continue on another engine: no tokens were delivered yet, or
  ///   the position to resume from is known. Without the position, the caller would receive the
  ///   beginning of the answer a second time.
  bool canResume() const { return !resuming() || !call_.pass_through || !last_token_.empty(); }

  void giveUp(ErrorKind kind, const std::string& message, common::Duration retry_after);
  /// Releases all resources and records `state` as the request's final state. Does not call the
  /// observer.
  void close(const std::string& state);
  void retireAttempt();
  /// Reports the output collected by `output_meter_` to the router.
  void reportOutput();
  /// Tells the router that the request no longer uses its route, if it has one.
  void releaseRoute();
  void openRecord();
  void recordAttempt();
  void recordResult(const std::string& result);
  void logRoute() const;
  void logRefusal(const routing::RouteRefusal& refusal) const;
  /// \return true if the refusal shows only that this node, or the one that decides about the
  ///   engines, doesn't know the engines' state, and the request may wait for it
  bool awaitsEngineState(const routing::RouteRefusal& refusal) const;
  /// \return the longest time, from its start, that the request may wait for the engines' state
  common::Duration engineStateHold() const;
  void logPrompt() const;
  void logFirstToken() const;
  /// \pre the caller takes an answer up again
  void logContinuation() const;
  std::int64_t millisecondsSinceRouted() const;

  ModelExecutionCore& core_;
  ModelCall call_;
  ModelCallObserver* observer_;
  ModelTarget target_;
  /// By which the quarantine recognizes the request.
  common::RequestContent content_;
  std::string stream_id_;
  /// Identifies the request's placement to the router. Differs from `stream_id_` after a move,
  /// because two placements exist while a move is prepared.
  std::string placement_id_;
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
  OutputMeter output_meter_;
  OutputPace output_pace_;
  common::TimerId pace_timer_ = 0;
  common::MonotonicTime pace_check_due_{};
  /// Time and index of the first token of the current attempt.
  common::MonotonicTime first_token_at_{};
  std::uint32_t first_token_index_ = 0;
  /// Whether the stream was too slow at the last check of its pace.
  bool too_slow_ = false;
  bool was_too_slow_ = false;
  /// Placement of a move that the router was asked for; empty if there is none.
  std::string requested_move_;
  std::uint32_t moves_requested_ = 0;
  bool moved_ = false;
  std::optional<MoveRefusal> refused_move_;
  common::TimerId step_timer_ = 0;
  std::uint32_t tokens_given_ = 0;
  /// Last delivered token from whose text an engine can determine where to resume; set only for
  /// passed-through answers.
  std::string last_token_;
  /// Software build of the engine that gave the first token; set from then on.
  std::optional<common::BuildName> answer_build_;
  RepeatCounter repeat_counter_;
  /// Number of repeats already charged to the retry budget.
  std::uint32_t charged_repeats_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t unrun_attempts_ = 0;
  /// True while the router has been asked for a route and has not answered.
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
