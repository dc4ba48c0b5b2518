/// The state machine of one model request: one attempt after another until the whole answer was
/// given or the request is given up.
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
#include "cypresswall/execution/request_arrivals.h"
#include "cypresswall/execution/silence_watch.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::execution {

/// Owned by the caller's handle, and for the length of a callback by the event that it handles, so
/// that the observer may destroy the handle from any call.
class ModelRequest final : public std::enable_shared_from_this<ModelRequest>,
                           private EngineAttempt::Listener {
 public:
  ModelRequest(ModelExecutionCore& core, ModelCall call, ModelCallObserver& observer);
  /// Called once, after construction. Never calls the observer before it returns.
  void start();
  /// The caller went away: nothing is said to the observer any more.
  void abandon();
  void pause();
  void resume();

 private:
  void onAttemptRateLimit(const common::RateLimitNotice& notice) override;
  void onAttemptHead(const engines::AnswerHead& head) override;
  void onAttemptToken(std::uint32_t index, const std::string& text) override;
  void onAttemptFinished(const engines::StreamUsage& usage) override;
  void onAttemptFailed(engines::StreamFailure failure, const std::string& message) override;

  /// \return false if the request was given up: engines end under it, or its key was taken away
  bool maySend();
  bool admit();
  void nextAttempt();
  void onPlaced(routing::RouteChoice choice);
  routing::RouteRequest routeRequest() const;
  /// Time left for the first token, or for the next one of a resumed answer.
  common::Duration timeToFirstToken() const;
  /// \return the time within which the first token has to be expected of an engine. A request that
  ///   has lost an attempt is worth something even if it comes late; one that has not begun would
  ///   only make others late.
  common::Duration plannedFirstToken() const;
  void setDeadline();
  bool deadlinePassed() const;
  void onDeadline();
  void onRefused(const routing::RouteRefusal& refusal);
  void beginAttempt();
  /// \return repeats in all once the chosen route is taken
  std::uint32_t repeatsWithRoute() const;
  void beginStream(const engines::EngineEndpoint& engine, engines::StreamPhase phase);
  void handOverToDecode();
  void beginDecode();

  /// \pre an attempt is under way
  const engines::EngineEndpoint& attemptedEngine() const;
  void attemptLost(engines::StreamFailure failure, const std::string& message);
  void retryAfterRun(const std::string& message);
  void retryAfterNoRun(engines::StreamFailure failure, const std::string& message);
  /// Counts a refused attempt as one of the request's runs.
  /// \return false if the request was given up, since no further attempt may be made
  bool countRefusal(const std::string& message);
  /// Pays for what the request makes of repeats with its next attempt, so far as not yet paid.
  /// \return false if the request was given up, since the account is empty
  bool payUpTo(std::uint32_t repeats, ErrorKind kind, const std::string& message);
  /// Takes the attempt that is under way out of the arrivals.
  void notArrived();
  /// \return true if an attempt that failed so counts as an arrival at its engine
  bool arrived(engines::StreamFailure failure) const;
  fleet_limits::RetryBudget& account() const;
  void scheduleAttempt(common::Duration delay);
  void scheduleStep(common::Duration delay, std::function<void()> step);

  void watchSilence();
  SilenceWatch::Limits silenceLimits() const;
  void onSilence(bool beyond_hard);
  bool retryAffordable() const;
  /// \return true if the attempt that is under way counts as a run of the request
  bool attemptRuns() const;
  std::uint32_t maximumRuns() const;
  bool resuming() const { return tokens_given_ > 0; }
  /// Whether another engine can be told where to go on. Without it the answer would begin anew
  /// behind what the caller has.
  bool canGoOn() const { return !resuming() || !call_.pass_through || !last_token_.empty(); }

  void giveUp(ErrorKind kind, const std::string& message, common::Duration retry_after);
  /// Ends everything but the observer's last call.
  void close(const std::string& state);
  void retireAttempt();
  /// Gives back the place that the router gave.
  void leaveRoute();
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
  common::MonotonicTime first_token_due_{};
  common::MonotonicTime resume_until_{};
  /// When the caller is answered in any case; empty if nobody set a time limit.
  std::optional<common::MonotonicTime> deadline_;
  common::TimerId deadline_timer_ = 0;
  std::vector<common::EngineName> excluded_;
  std::optional<routing::Route> route_;
  std::unique_ptr<EngineAttempt> attempt_;
  common::MonotonicTime attempt_sent_at_{};
  engines::StreamPhase phase_ = engines::StreamPhase::kWhole;
  SilenceWatch silence_;
  common::TimerId step_timer_ = 0;
  std::uint32_t tokens_given_ = 0;
  /// Kept only of answers that are passed through.
  std::string last_token_;
  RequestArrivals arrivals_;
  /// Repeats paid for.
  std::uint32_t paid_repeats_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t unrun_attempts_ = 0;
  /// The router was asked for a place and has not answered.
  bool placing_ = false;
  bool head_given_ = false;
  bool may_have_run_ = false;
  bool token_seen_in_attempt_ = false;
  /// Its first token came, from whichever engine.
  bool began_ = false;
  bool paused_ = false;
  bool starting_ = false;
  bool closed_ = false;
};

}  // namespace cypresswall::execution
