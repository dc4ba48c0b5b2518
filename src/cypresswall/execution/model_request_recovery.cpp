/// How a model request goes on when an attempt fails or its engine is silent.
#include <algorithm>
#include <utility>

#include "cypresswall/execution/model_request.h"

namespace cypresswall::execution {
namespace {

/// A hard limit is at least this many soft ones.
constexpr int kSoftLimitsPerHardLimit = 2;

bool provedNotRun(engines::StreamFailure failure) {
  return failure == engines::StreamFailure::kNotSent || failure == engines::StreamFailure::kRefused;
}

common::Duration scaled(common::Duration duration, double factor) {
  return common::fromSeconds(common::toSeconds(duration) * factor);
}

}  // namespace

void ModelRequest::watchSilence() {
  silence_.start(silenceLimits(), [weak = weak_from_this()](bool beyond_hard) {
    if (const auto self = weak.lock()) {
      self->onSilence(beyond_hard);
    }
  });
}

SilenceWatch::Limits ModelRequest::silenceLimits() const {
  const auto& settings = core_.settings;
  SilenceWatch::Limits limits;
  if (token_seen_in_attempt_) {
    limits.soft = std::max(
        scaled(target_.service.between_tokens_limit, settings.between_tokens_silence_factor),
        settings.between_tokens_silence_floor);
  } else {
    limits.soft =
        std::max(scaled(route_->expected_first_token, settings.first_token_silence_factor) +
                     settings.first_token_silence_margin,
                 scaled(target_.service.first_token_limit, settings.first_token_silence_share));
  }
  limits.hard = std::max(limits.soft * kSoftLimitsPerHardLimit, settings.silence_maximum);
  return limits;
}

void ModelRequest::onSilence(bool beyond_hard) {
  if (!beyond_hard && !retryAffordable()) {
    return;
  }
  core_.counters.silent.add();
  attemptLost(engines::StreamFailure::kBroken, "the engine was silent for too long");
}

bool ModelRequest::retryAffordable() const {
  return runs_ + 1 < core_.settings.maximum_runs && core_.budget.available() &&
         timeToFirstToken() > common::Duration{0};
}

void ModelRequest::attemptLost(engines::StreamFailure failure, const std::string& message) {
  silence_.stop();
  const auto& engine =
      phase_ == engines::StreamPhase::kPrefillOnly ? *route_->prefill_engine : route_->engine;
  common::LogEvent(core_.process.log, common::LogLevel::kWarning, "attempt_failed")
      .field("request", call_.request_id)
      .field("stream", stream_id_)
      .field("engine", engine.name)
      .field("tokens_given", tokens_given_)
      .field("reason", message);
  recordResult(engine.name + ": " + message);
  excluded_.push_back(engine.name);
  retireAttempt();
  core_.router.attemptFailed(stream_id_, failure);
  route_.reset();
  if (token_seen_in_attempt_) {
    resume_until_ = core_.process.clock.now() + core_.settings.resume_time_limit;
  }
  if (provedNotRun(failure)) {
    retryAfterNoRun(message);
  } else {
    may_have_run_ = true;
    retryAfterRun(message);
  }
}

void ModelRequest::retryAfterRun(const std::string& message) {
  ++runs_;
  if (runs_ >= core_.settings.maximum_runs) {
    giveUp(ErrorKind::kBackendFailed, message, core_.settings.default_retry_after);
    return;
  }
  if (!core_.budget.withdraw()) {
    core_.counters.budget_spent.add();
    giveUp(ErrorKind::kBackendFailed, message + "; the retry budget is spent",
           core_.settings.default_retry_after);
    return;
  }
  core_.counters.retries_after_run.add();
  if (resuming()) {
    core_.counters.resumed.add();
  }
  scheduleAttempt(backoffBefore(runs_, core_.settings, core_.process.random));
}

void ModelRequest::retryAfterNoRun(const std::string& message) {
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts) {
    giveUp(ErrorKind::kNoBackend, message, core_.settings.default_retry_after);
    return;
  }
  core_.counters.retries_after_no_run.add();
  scheduleAttempt(backoffBefore(unrun_attempts_, core_.settings, core_.process.random));
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

}  // namespace cypresswall::execution
