/// Recovery of a model request after a failed attempt, a stalled engine or an expired deadline.
#include <algorithm>
#include <utility>

#include "cypresswall/execution/backoff.h"
#include "cypresswall/execution/model_request.h"

namespace cypresswall::execution {
namespace {

/// Minimum ratio of the hard stall limit to the soft stall limit (see StallDetector::Limits).
constexpr int kSoftLimitsPerHardLimit = 2;

bool provenNotRun(engines::StreamFailure failure) {
  return failure == engines::StreamFailure::kNotTried ||
         failure == engines::StreamFailure::kNotSent || failure == engines::StreamFailure::kRefused;
}

common::Duration scaled(common::Duration duration, double factor) {
  return common::fromSeconds(common::toSeconds(duration) * factor);
}

}  // namespace

void ModelRequest::watchForStall() {
  stall_detector_.start(stallLimits(), [weak = weak_from_this()](bool hard_limit_exceeded) {
    if (const auto self = weak.lock()) {
      self->onStall(hard_limit_exceeded);
    }
  });
}

StallDetector::Limits ModelRequest::stallLimits() const {
  const auto& settings = core_.settings;
  StallDetector::Limits limits;
  if (token_seen_in_attempt_) {
    limits.soft =
        std::max(scaled(target_.service.between_tokens_limit, settings.between_tokens_stall_factor),
                 settings.between_tokens_stall_floor);
  } else {
    limits.soft =
        std::max(scaled(route_->expected_first_token, settings.first_token_stall_factor) +
                     settings.first_token_stall_margin,
                 scaled(target_.service.first_token_limit, settings.first_token_stall_share));
  }
  limits.hard = std::max(limits.soft * kSoftLimitsPerHardLimit, settings.stall_maximum);
  return limits;
}

/// If the request cannot be retried, its stalled attempt continues: until its deadline if it has
/// one, otherwise until the hard limit.
void ModelRequest::onStall(bool hard_limit_exceeded) {
  if (!retryAffordable() && (!hard_limit_exceeded || deadline_)) {
    if (hard_limit_exceeded) {
      watchForStall();
    }
    return;
  }
  core_.counters.stalled.add();
  onAttemptLost(engines::StreamFailure::kBroken, "the engine was silent for too long");
}

bool ModelRequest::retryAffordable() const {
  const bool repeatable = target_.service.repeatable || !attemptCountsAsRun();
  return repeatable && runs_ + 1 < maximumRuns() && retryBudget().available() &&
         timeToFirstToken() > common::Duration{0};
}

/// Repeats take a new connection, since a second closed connection would cost a further repeat.
bool ModelRequest::mayReuseConnection() const { return runs_ == 0 && retryAffordable(); }

bool ModelRequest::attemptCountsAsRun() const {
  return target_.service.repeatable || phase_ != engines::StreamPhase::kPrefillOnly;
}

std::uint32_t ModelRequest::maximumRuns() const {
  const auto declared = target_.service.maximum_runs;
  return declared > 0 ? declared : core_.settings.maximum_runs;
}

void ModelRequest::onAttemptLost(engines::StreamFailure failure, const std::string& message) {
  stall_detector_.stop();
  stopWatchingPace();
  const auto& engine = attemptedEngine();
  common::LogEvent(core_.process.log, common::LogLevel::kWarning, "attempt_failed")
      .field("request", call_.request_id)
      .field("fingerprint", common::toString(call_.fingerprint))
      .field("stream", stream_id_)
      .field("engine", engine.name)
      .field("tokens_given", tokens_given_)
      .field("reason", message);
  recordResult(engine.name + ": " + message);
  if (failure != engines::StreamFailure::kStale) {
    excluded_.push_back(engine.name);
  }
  if (!countsAsDelivered(failure) && failure != engines::StreamFailure::kNotTried) {
    recordNotDelivered();
  }
  retireAttempt();
  reportOutput();
  core_.router.attemptFailed(placement_id_, engine.name, failure);
  route_.reset();
  if (token_seen_in_attempt_) {
    resume_until_ = core_.process.clock.now() + core_.settings.resume_time_limit;
  }
  if (!canResume()) {
    may_have_run_ = true;
    giveUp(ErrorKind::kBackendFailed, message + "; no position to go on from",
           core_.settings.default_retry_after);
    return;
  }
  if (provenNotRun(failure)) {
    retryAfterNoRun(failure, message);
    return;
  }
  may_have_run_ = may_have_run_ || attemptCountsAsRun();
  if (may_have_run_ && !target_.service.repeatable) {
    giveUp(ErrorKind::kBackendFailed, message, core_.settings.default_retry_after);
    return;
  }
  retryAfterRun(message);
}

void ModelRequest::retryAfterRun(const std::string& message) {
  ++runs_;
  if (runs_ >= maximumRuns()) {
    giveUp(ErrorKind::kBackendFailed, message, core_.settings.default_retry_after);
    return;
  }
  if (!chargeRepeats(repeat_counter_.repeatsWithSingleEngine(), ErrorKind::kBackendFailed,
                     message)) {
    return;
  }
  core_.counters.retries_after_run.add();
  if (resuming()) {
    core_.counters.resumed.add();
  }
  scheduleAttempt(backoffBefore(runs_, core_.settings, core_.process.random));
}

void ModelRequest::retryAfterNoRun(engines::StreamFailure failure, const std::string& message) {
  if (countsAsDelivered(failure) && !chargeRefusal(message)) {
    return;
  }
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts) {
    giveUp(ErrorKind::kNoBackend, message, core_.settings.default_retry_after);
    return;
  }
  core_.counters.retries_after_no_run.add();
  scheduleAttempt(backoffBefore(unrun_attempts_, core_.settings, core_.process.random));
}

bool ModelRequest::chargeRefusal(const std::string& message) {
  ++runs_;
  if (runs_ >= maximumRuns()) {
    giveUp(ErrorKind::kOverloaded, message, core_.settings.default_retry_after);
    return false;
  }
  return chargeRepeats(repeat_counter_.repeatsWithSingleEngine(), ErrorKind::kOverloaded, message);
}

bool ModelRequest::chargeRepeats(std::uint32_t repeats, ErrorKind kind,
                                 const std::string& message) {
  if (repeats <= charged_repeats_) {
    return true;
  }
  if (!retryBudget().withdraw(repeats - charged_repeats_)) {
    core_.counters.retry_budget_exhausted.add();
    releaseRoute();
    giveUp(kind, message + "; the retry budget is spent", core_.settings.default_retry_after);
    return false;
  }
  charged_repeats_ = repeats;
  return true;
}

bool ModelRequest::countsAsDelivered(engines::StreamFailure failure) const {
  const bool refused = failure == engines::StreamFailure::kRefused;
  return !provenNotRun(failure) || (refused && core_.settings.charge_refused_attempts);
}

void ModelRequest::recordNotDelivered() {
  if (phase_ == engines::StreamPhase::kPrefillOnly) {
    repeat_counter_.promptNotDelivered();
  } else {
    repeat_counter_.outputNotDelivered();
  }
}

void ModelRequest::scheduleAttempt(common::Duration delay) {
  scheduleStep(delay, [this] { nextAttempt(); });
}

void ModelRequest::scheduleStep(common::Duration delay, std::function<void()> step) {
  step_timer_ =
      core_.process.scheduler.schedule(delay, [weak = weak_from_this(), step = std::move(step)] {
        if (const auto self = weak.lock()) {
          self->step_timer_ = 0;
          step();
        }
      });
}

void ModelRequest::setDeadline() {
  auto limit = target_.service.time_limit;
  if (call_.time_limit > common::Duration{0}) {
    limit = limit > common::Duration{0} ? std::min(limit, call_.time_limit) : call_.time_limit;
  }
  if (limit <= common::Duration{0}) {
    return;
  }
  deadline_ = core_.process.clock.now() + limit;
  deadline_timer_ = core_.process.scheduler.schedule(limit, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->deadline_timer_ = 0;
      self->onDeadline();
    }
  });
}

bool ModelRequest::deadlinePassed() const {
  return deadline_ && core_.process.clock.now() >= *deadline_;
}

/// Ends the request. If the current attempt counts as a run, the request is reported as possibly
/// run, because the engine works on it until the cancellation arrives.
void ModelRequest::onDeadline() {
  may_have_run_ = may_have_run_ || (attempt_ != nullptr && attemptCountsAsRun());
  if (route_) {
    recordResult("ended by the request's time limit");
  }
  logIfTooSlow();
  releaseRoute();
  giveUp(ErrorKind::kDeadlineExceeded, "the request's time limit has passed",
         core_.settings.default_retry_after);
}

}  // namespace cypresswall::execution
