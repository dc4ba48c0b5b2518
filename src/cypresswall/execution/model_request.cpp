#include "cypresswall/execution/model_request.h"

#include <algorithm>
#include <utility>

#include "cypresswall/admission/engine_priority.h"
#include "cypresswall/execution/refusal_error.h"

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

ModelRequest::ModelRequest(ModelExecutionCore& core, ModelCall call, ModelCallObserver& observer)
    : core_(core),
      call_(std::move(call)),
      observer_(&observer),
      stream_id_(core.nextStreamId()),
      silence_(core.process.clock, core.process.scheduler, core.settings.pause_detection) {}

void ModelRequest::start() {
  starting_ = true;
  core_.counters.started.add();
  core_.budget.requestStarted();
  auto target = resolveTarget(*core_.configuration.current(), call_);
  if (!target) {
    giveUp(ErrorKind::kUnknownModel, "no model or service is named " + call_.service,
           common::Duration{0});
  } else {
    target_ = std::move(*target);
    first_token_due_ = core_.process.clock.now() + target_.service.first_token_limit;
    if (admit()) {
      nextAttempt();
    }
  }
  starting_ = false;
}

bool ModelRequest::admit() {
  admission::AdmissionRequest request;
  request.tenant = call_.tenant;
  request.service = call_.service;
  request.urgency = target_.service.urgency;
  request.tokens = target_.shape.tokens + target_.maximum_tokens;
  const auto refusal = core_.admission.admit(request);
  if (refusal) {
    giveUp(errorKindOf(refusal->reason), refusal->message, refusal->retry_after);
    return false;
  }
  admitted_ = std::move(request);
  return true;
}

void ModelRequest::nextAttempt() {
  if (timeToFirstToken() <= common::Duration{0}) {
    giveUp(ErrorKind::kDeadlineExceeded, "the first token can't be given in time any more",
           core_.settings.default_retry_after);
    return;
  }
  const auto request = routeRequest();
  auto choice = core_.router.choose(request);
  if (const auto* refusal = std::get_if<routing::RouteRefusal>(&choice)) {
    onRefused(*refusal);
    return;
  }
  route_ = std::get<routing::Route>(std::move(choice));
  core_.router.attemptStarted(request, *route_);
  beginAttempt();
}

routing::RouteRequest ModelRequest::routeRequest() const {
  routing::RouteRequest request;
  request.stream_id = stream_id_;
  request.model = target_.service.model;
  request.version = target_.version;
  request.adapter = target_.service.adapter;
  request.shape = target_.shape;
  request.maximum_tokens = target_.maximum_tokens;
  request.resume_from = tokens_given_;
  request.priority = admission::enginePriority(target_.service.urgency, resuming());
  request.first_token_limit = timeToFirstToken();
  request.between_tokens_limit = target_.service.between_tokens_limit;
  request.excluded = excluded_;
  return request;
}

common::Duration ModelRequest::timeToFirstToken() const {
  if (resuming()) {
    return target_.service.first_token_limit;
  }
  return first_token_due_ - core_.process.clock.now();
}

void ModelRequest::onRefused(const routing::RouteRefusal& refusal) {
  if (resuming() && core_.process.clock.now() < resume_until_) {
    // The caller reads a half-given answer: look again, also on engines that failed before.
    excluded_.clear();
    scheduleAttempt(core_.settings.backoff_maximum);
    return;
  }
  const auto kind = refusal.reason == routing::RouteFailure::kUnknownModel ? ErrorKind::kNoBackend
                                                                           : ErrorKind::kOverloaded;
  giveUp(kind, refusal.message, std::max(refusal.retry_after, core_.settings.minimum_retry_after));
}

void ModelRequest::beginAttempt() {
  if (route_->prefill_engine) {
    beginStream(*route_->prefill_engine, engines::StreamPhase::kPrefillOnly);
  } else {
    beginStream(route_->engine, engines::StreamPhase::kWhole);
  }
}

void ModelRequest::beginStream(const engines::EngineEndpoint& engine, engines::StreamPhase phase) {
  phase_ = phase;
  token_seen_in_attempt_ = false;
  engines::StreamRequest request;
  request.stream_id = stream_id_;
  request.attempt = core_.nextAttemptNumber();
  request.model = target_.service.model;
  request.version = target_.version;
  request.adapter = target_.service.adapter;
  request.priority = admission::enginePriority(target_.service.urgency, resuming());
  request.prompt = call_.prompt;
  request.shape = target_.shape;
  request.maximum_tokens = target_.maximum_tokens;
  request.resume_from = tokens_given_;
  request.phase = phase;
  if (phase == engines::StreamPhase::kDecodeOnly) {
    request.kv_source = route_->prefill_engine->address;
  }
  core_.counters.attempts.add();
  EngineAttempt::Listener& listener = *this;
  attempt_ = std::make_unique<EngineAttempt>(listener, core_.stream_events);
  attempt_->begin(core_.engines, engine, std::move(request));
  if (paused_) {
    attempt_->pause();
  } else {
    watchSilence();
  }
}

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

void ModelRequest::onAttemptToken(std::uint32_t index, const std::string& text) {
  const auto self = shared_from_this();
  tokens_given_ = index + 1;
  if (token_seen_in_attempt_) {
    silence_.progress();
  } else {
    token_seen_in_attempt_ = true;
    core_.router.firstTokenReceived(stream_id_);
    silence_.progress(silenceLimits());
  }
  observer_->onToken(index, text);
}

void ModelRequest::onAttemptFinished(const engines::StreamUsage& usage) {
  const auto self = shared_from_this();
  if (phase_ == engines::StreamPhase::kPrefillOnly) {
    may_have_run_ = true;
    handOverToDecode();
    return;
  }
  core_.router.attemptFinished(stream_id_);
  route_.reset();
  core_.counters.done.add();
  close();
  observer_->onFinished(usage);
}

void ModelRequest::handOverToDecode() {
  retireAttempt();
  silence_.stop();
  scheduleStep(common::Duration{0},
               [this] { beginStream(route_->engine, engines::StreamPhase::kDecodeOnly); });
}

void ModelRequest::onAttemptFailed(engines::StreamFailure failure, const std::string& message) {
  const auto self = shared_from_this();
  attemptLost(failure, message);
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

void ModelRequest::giveUp(ErrorKind kind, const std::string& message,
                          common::Duration retry_after) {
  ExecutionError error;
  error.kind = kind;
  error.outcome = may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun;
  error.message = message;
  error.retry_after = retry_after;
  auto& counter = may_have_run_ ? core_.counters.failed_unknown : core_.counters.failed_not_run;
  counter.add();
  common::LogEvent(core_.process.log, common::LogLevel::kWarning, "request_failed")
      .field("request", call_.request_id)
      .field("stream", stream_id_)
      .field("outcome", toString(error.outcome))
      .field("reason", message);
  close();
  if (!starting_) {
    observer_->onError(error);
    return;
  }
  core_.process.scheduler.schedule(common::Duration{0}, [self = shared_from_this(), error] {
    if (self->observer_ != nullptr) {
      self->observer_->onError(error);
    }
  });
}

void ModelRequest::abandon() {
  observer_ = nullptr;
  if (closed_) {
    return;
  }
  if (route_) {
    core_.router.attemptFinished(stream_id_);
    route_.reset();
  }
  core_.counters.abandoned.add();
  close();
}

void ModelRequest::close() {
  closed_ = true;
  silence_.stop();
  core_.process.scheduler.cancel(std::exchange(step_timer_, 0));
  retireAttempt();
  if (admitted_) {
    core_.admission.released(*admitted_);
    admitted_.reset();
  }
}

void ModelRequest::retireAttempt() {
  if (attempt_) {
    core_.retire(std::move(attempt_));
  }
}

void ModelRequest::pause() {
  paused_ = true;
  silence_.stop();
  if (attempt_) {
    attempt_->pause();
  }
}

void ModelRequest::resume() {
  if (!std::exchange(paused_, false) || !attempt_) {
    return;
  }
  attempt_->resume();
  watchSilence();
}

}  // namespace cypresswall::execution
