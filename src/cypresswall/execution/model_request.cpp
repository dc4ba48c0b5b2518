#include "cypresswall/execution/model_request.h"

#include <algorithm>
#include <utility>

#include "cypresswall/admission/engine_priority.h"
#include "cypresswall/execution/refusal_error.h"

namespace cypresswall::execution {
namespace {

/// How long after its start a node may lack the state of engines.
constexpr common::Duration kStartupTime = std::chrono::seconds(3);
/// Interval at which a request that waits for the state of engines asks for a route again.
constexpr common::Duration kEngineStateWait = std::chrono::milliseconds(50);
/// Longest time, from its start, that a request which takes an answer up waits for the state of
/// engines. Longer than a node needs to learn it anew after a pause.
constexpr common::Duration kTakeUpWait = std::chrono::milliseconds(1500);

}  // namespace

ModelRequest::ModelRequest(ModelExecutionCore& core, ModelCall call, ModelCallObserver& observer)
    : core_(core),
      call_(std::move(call)),
      observer_(&observer),
      stream_id_(core.nextStreamId()),
      placement_id_(stream_id_),
      stall_detector_(core.process.clock, core.process.scheduler, core.settings.pause_detection) {}

void ModelRequest::start() {
  starting_ = true;
  openRecord();
  core_.counters.started.add();
  if (call_.continues) {
    logContinuation();
  }
  auto target = resolveTarget(*core_.configuration.current(), call_);
  if (!target) {
    giveUp(ErrorKind::kUnknownModel, "no model or service is named " + call_.service,
           common::Duration{0});
  } else {
    target_ = std::move(*target);
    content_ = common::contentOf(call_.fingerprint, target_.shape);
    target_.service.urgency = call_.urgency.value_or(target_.service.urgency);
  }
  if (target && checkPermitted()) {
    retryBudget().recordRequest();
    record_->model = target_.service.model;
    record_->prompt_tokens = target_.shape.tokens;
    record_->maximum_tokens = target_.maximum_tokens;
    first_token_deadline_ = core_.process.clock.now() + target_.service.first_token_limit;
    setDeadline();
    if (admit()) {
      findOrigin();
    }
  }
  starting_ = false;
}

/// Quarantine limits the damage of a request that crashes every engine that runs it. Sent a few
/// times a second to a fleet of 18 engines, such a request caused 46 engine crashes without
/// quarantine. With quarantine, only the three crashes that identify the request occur, plus those
/// of attempts already in progress.
bool ModelRequest::checkPermitted() {
  if (call_.still_allowed && !call_.still_allowed()) {
    releaseRoute();
    giveUp(ErrorKind::kKeyRevoked, "the caller's key was taken away", common::Duration{0});
    return false;
  }
  const auto quarantined_for = core_.quarantine.quarantinedFor(content_);
  if (quarantined_for) {
    releaseRoute();
    giveUp(ErrorKind::kQuarantined, "engines end under this request", *quarantined_for);
  }
  return !quarantined_for;
}

bool ModelRequest::admit() {
  admission::AdmissionRequest request;
  request.tenant = call_.tenant;
  request.service = call_.service;
  request.urgency = target_.service.urgency;
  request.tokens = target_.shape.tokens + target_.maximum_tokens;
  request.quota_tokens = call_.quota_tokens;
  const auto refusal = core_.admission.admit(request);
  if (refusal) {
    giveUp(errorKindOf(refusal->reason), refusal->message, refusal->retry_after);
    return false;
  }
  admitted_ = std::move(request);
  return true;
}

void ModelRequest::findOrigin() {
  if (!call_.continues || core_.answer_builds == nullptr) {
    nextAttempt();
    return;
  }
  core_.answer_builds->find(target_.service.model, call_.continues->began_as,
                            [weak = weak_from_this()](const answer_builds::AnswerOrigin& origin) {
                              const auto self = weak.lock();
                              if (self && !self->closed_) {
                                self->onOriginFound(origin);
                              }
                            });
}

void ModelRequest::onOriginFound(const answer_builds::AnswerOrigin& origin) {
  if (!origin.known) {
    giveUp(ErrorKind::kNoBackend, "the software build that began the answer is not known",
           common::Duration{0});
    return;
  }
  answer_build_ = origin.build;
  if (answer_build_) {
    // From now on this node is one of those that know what began the answer.
    core_.answer_builds->began(target_.service.model, call_.continues->began_as, *answer_build_);
  }
  nextAttempt();
}

void ModelRequest::recordOrigin() {
  if (answer_build_) {
    return;
  }
  answer_build_ = route_->build;
  if (core_.answer_builds != nullptr) {
    core_.answer_builds->began(target_.service.model, call_.request_id, *answer_build_);
  }
}

void ModelRequest::nextAttempt() {
  if (!checkPermitted()) {
    return;
  }
  if (timeToFirstToken() <= common::Duration{0}) {
    giveUp(ErrorKind::kDeadlineExceeded, "the first token can't be given in time any more",
           core_.settings.default_retry_after);
    return;
  }
  if (endIfPathLost()) {
    return;
  }
  awaiting_placement_ = true;
  core_.router.place(routeRequest(), [weak = weak_from_this()](routing::RouteChoice choice) {
    if (const auto self = weak.lock()) {
      self->onPlaced(std::move(choice));
    }
  });
}

bool ModelRequest::endIfPathLost() {
  if (!core_.pathLost() || may_have_run_ || resuming()) {
    return false;
  }
  giveUp(ErrorKind::kPathLost, "this node reaches no engine", core_.settings.default_retry_after);
  return true;
}

void ModelRequest::onPlaced(routing::RouteChoice choice) {
  awaiting_placement_ = false;
  if (const auto* refusal = std::get_if<routing::RouteRefusal>(&choice)) {
    onRefused(*refusal);
    return;
  }
  route_ = std::get<routing::Route>(std::move(choice));
  if (!checkPermitted()) {
    return;
  }
  recordAttempt();
  logRoute();
  if (chargeRepeats(repeatsFor(*route_), ErrorKind::kOverloaded,
                    "a further attempt can't be paid for")) {
    beginAttempt();
  }
}

routing::RouteRequest ModelRequest::routeRequest() const {
  routing::RouteRequest request;
  request.stream_id = placement_id_;
  request.model = target_.service.model;
  request.version = target_.version;
  request.adapter = target_.service.adapter;
  request.build = answer_build_;
  request.shape = target_.shape;
  request.maximum_tokens = target_.maximum_tokens;
  request.resume_from = tokens_given_;
  request.priority = admission::enginePriority(target_.service.urgency, resuming());
  request.first_token_limit = plannedFirstTokenLimit();
  request.between_tokens_limit = target_.service.between_tokens_limit;
  request.excluded = excluded_;
  if (deadline_) {
    request.finish_limit = *deadline_ - core_.process.clock.now();
  }
  return request;
}

common::Duration ModelRequest::plannedFirstTokenLimit() const {
  const auto left = timeToFirstToken();
  const auto target = target_.service.first_token_target;
  const bool begun = !record_->attempts.empty();
  if (!core_.settings.admits_within_target || begun || target <= common::Duration{0}) {
    return left;
  }
  const double planned = common::toSeconds(target) * core_.settings.planned_target_share;
  return std::min(left, common::fromSeconds(planned));
}

common::Duration ModelRequest::timeToFirstToken() const {
  const auto now = core_.process.clock.now();
  const auto left = resuming() ? target_.service.first_token_limit : first_token_deadline_ - now;
  return deadline_ ? std::min(left, *deadline_ - now) : left;
}

bool ModelRequest::awaitsEngineState(const routing::RouteRefusal& refusal) const {
  const auto now = core_.process.clock.now();
  const auto began_at = first_token_deadline_ - target_.service.first_token_limit;
  return refusal.reason == routing::RouteFailure::kOverloaded && !refusal.best &&
         record_->attempts.empty() && now - began_at < engineStateHold() &&
         timeToFirstToken() > kEngineStateWait;
}

/// As with answers that break inside a request, the caller already has part of the answer.
common::Duration ModelRequest::engineStateHold() const {
  if (core_.process.clock.now() - core_.started_at < kStartupTime) {
    return core_.settings.startup_hold;
  }
  return call_.continues ? kTakeUpWait : common::Duration{0};
}

void ModelRequest::onRefused(const routing::RouteRefusal& refusal) {
  if (awaitsEngineState(refusal)) {
    scheduleAttempt(kEngineStateWait);
    return;
  }
  logRefusal(refusal);
  if (refusal.reason == routing::RouteFailure::kNoEngineOfBuild) {
    giveUp(ErrorKind::kNoBackend, refusal.message, common::Duration{0});
    return;
  }
  if (resuming() && core_.process.clock.now() < resume_until_) {
    // The caller already has part of the answer, so try again and also allow engines on which
    // attempts failed.
    excluded_.clear();
    scheduleAttempt(core_.settings.backoff_maximum);
    return;
  }
  const auto kind = refusal.reason == routing::RouteFailure::kUnknownModel ? ErrorKind::kNoBackend
                                                                           : ErrorKind::kOverloaded;
  giveUp(kind, refusal.message, std::max(refusal.retry_after, core_.settings.minimum_retry_after));
}

void ModelRequest::beginAttempt() {
  sendIfTaken(route_->prefill_engine ? engines::StreamPhase::kPrefillOnly
                                     : engines::StreamPhase::kWhole);
}

/// Checks the engine again, because time has passed since it was chosen: for the permit of another
/// node, or for seconds while another engine computed the prompt.
void ModelRequest::sendIfTaken(engines::StreamPhase phase) {
  phase_ = phase;
  const engines::EngineEndpoint engine = attemptedEngine();
  if (core_.router.takesWork(engine)) {
    beginStream(engine, phase);
    return;
  }
  onAttemptLost(engines::StreamFailure::kNotTried, "the engine takes no new work any more");
}

std::uint32_t ModelRequest::repeatsFor(const routing::Route& route) const {
  return route.prefill_engine ? repeat_counter_.repeatsWithSeparatePrefill()
                              : repeat_counter_.repeatsWithSingleEngine();
}

void ModelRequest::beginStream(const engines::EngineEndpoint& engine, engines::StreamPhase phase) {
  phase_ = phase;
  token_seen_in_attempt_ = false;
  output_meter_.reset();
  output_pace_.reset();
  engines::StreamRequest request;
  request.stream_id = stream_id_;
  request.attempt = core_.nextAttemptNumber();
  request.model = target_.service.model;
  request.version = target_.version;
  request.adapter = target_.service.adapter;
  request.priority = admission::enginePriority(target_.service.urgency, resuming());
  request.prompt = call_.prompt;
  request.pass_through = call_.pass_through;
  request.shape = target_.shape;
  request.maximum_tokens = target_.maximum_tokens;
  request.resume_from = tokens_given_;
  request.last_token = last_token_;
  request.phase = phase;
  if (deadline_) {
    request.time_limit = *deadline_ - core_.process.clock.now();
  }
  if (phase == engines::StreamPhase::kDecodeOnly) {
    request.kv_source = route_->prefill_engine->address;
  } else if (route_->prefix_source) {
    request.prefix_source = route_->prefix_source->address;
  }
  request.may_reuse_connection = mayReuseConnection();
  core_.counters.attempts.add();
  if (phase == engines::StreamPhase::kPrefillOnly) {
    repeat_counter_.promptSent();
  } else {
    repeat_counter_.outputSent();
  }
  EngineAttempt::Listener& listener = *this;
  attempt_sent_at_ = core_.process.clock.now();
  attempt_ = std::make_unique<EngineAttempt>(listener, core_.stream_events);
  attempt_->begin(core_.engines, engine, std::move(request));
  if (paused_) {
    attempt_->pause();
  } else {
    watchForStall();
  }
}

void ModelRequest::onAttemptRateLimit(const common::RateLimitNotice& notice) {
  core_.rate_limiter.answered(attemptedEngine().name, notice, attempt_sent_at_);
}

void ModelRequest::onAttemptHead(const engines::AnswerHead& head) {
  if (head_forwarded_) {
    return;
  }
  const auto self = shared_from_this();
  head_forwarded_ = true;
  observer_->onHead(head);
}

void ModelRequest::onAttemptToken(std::uint32_t index, const std::string& text) {
  const auto self = shared_from_this();
  tokens_given_ = index + 1;
  if (call_.pass_through && core_.engines.marksPosition(text)) {
    last_token_ = text;
  }
  record_->tokens_given = tokens_given_;
  const auto now = core_.process.clock.now();
  const bool sample_due = output_meter_.tokenReceived(now);
  output_pace_.tokenReceived(now);
  if (token_seen_in_attempt_) {
    stall_detector_.progress(now);
    if (sample_due) {
      reportOutput();
    }
  } else {
    token_seen_in_attempt_ = true;
    first_token_at_ = now;
    first_token_index_ = index;
    recordOrigin();
    if (!std::exchange(usage_recorded_, true)) {
      core_.usage.requestBegan(call_.tenant);
    }
    logFirstToken();
    core_.router.firstTokenReceived(placement_id_);
    stall_detector_.progress(now, stallLimits());
    watchPace();
  }
  observer_->onToken(index, text);
}

void ModelRequest::onAttemptFinished(const engines::StreamUsage& usage) {
  const auto self = shared_from_this();
  if (phase_ == engines::StreamPhase::kPrefillOnly) {
    may_have_run_ = may_have_run_ || attemptCountsAsRun();
    logPrompt();
    repeat_counter_.promptComputed();
    core_.router.promptComputed(placement_id_);
    handOverToDecode();
    return;
  }
  core_.quarantine.answered(content_);
  core_.moves.lengths().completed(call_.service, target_.maximum_tokens, tokens_given_);
  reportOutput();
  core_.router.answerCompleted(placement_id_);
  core_.router.attemptFinished(placement_id_);
  route_.reset();
  core_.counters.done.add();
  recordResult("done");
  close("done");
  observer_->onFinished(usage);
}

void ModelRequest::handOverToDecode() {
  retireAttempt();
  stall_detector_.stop();
  scheduleStep(common::Duration{0}, [this] { beginDecode(); });
}

/// Repeats the checks of the deadline and the permission, because computing the prompt may have
/// taken seconds.
void ModelRequest::beginDecode() {
  if (deadlinePassed()) {
    onDeadline();
    return;
  }
  if (!checkPermitted()) {
    return;
  }
  sendIfTaken(engines::StreamPhase::kDecodeOnly);
}

void ModelRequest::onAttemptFailed(engines::StreamFailure failure, const std::string& message) {
  const auto self = shared_from_this();
  if (failure == engines::StreamFailure::kBroken) {
    core_.quarantine.streamBroken(content_, attemptedEngine(), attemptProgress());
  }
  onAttemptLost(failure, message);
}

quarantine::OutputProgress ModelRequest::attemptProgress() const {
  if (!token_seen_in_attempt_) {
    return quarantine::OutputProgress::kNone;
  }
  return tokens_given_ == first_token_index_ + 1 ? quarantine::OutputProgress::kFirstToken
                                                 : quarantine::OutputProgress::kUnderWay;
}

const engines::EngineEndpoint& ModelRequest::attemptedEngine() const {
  return phase_ == engines::StreamPhase::kPrefillOnly ? *route_->prefill_engine : route_->engine;
}

fleet_limits::RetryBudget& ModelRequest::retryBudget() const {
  return core_.retries.of(target_.service.backend_pool.empty() ? target_.service.model
                                                               : target_.service.backend_pool);
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
      .field("fingerprint", common::toString(call_.fingerprint))
      .field("stream", stream_id_)
      .field("outcome", toString(error.outcome))
      .field("reason", message);
  close(std::string(toString(error.outcome)) + ": " + message);
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

void ModelRequest::reportOutput() {
  const auto sample = output_meter_.take();
  if (sample.tokens > 0) {
    core_.router.outputReceived(placement_id_, sample);
    core_.moves.pace(target_.service.model)
        .record(sample, route_->expected_between_tokens, too_slow_, core_.process.clock.now());
  }
}

void ModelRequest::releaseRoute() {
  if (route_) {
    reportOutput();
    core_.router.attemptFinished(placement_id_);
    route_.reset();
  }
}

void ModelRequest::abandon() {
  observer_ = nullptr;
  if (closed_) {
    return;
  }
  logIfTooSlow();
  releaseRoute();
  core_.counters.abandoned.add();
  close("the caller went away");
}

void ModelRequest::close(const std::string& state) {
  closed_ = true;
  if (std::exchange(awaiting_placement_, false)) {
    core_.router.abandonPlacement(placement_id_);
  }
  core_.journal.end(record_, state, core_.process.clock.now());
  stall_detector_.stop();
  stopWatchingPace();
  core_.process.scheduler.cancel(std::exchange(step_timer_, 0));
  core_.process.scheduler.cancel(std::exchange(deadline_timer_, 0));
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
  stall_detector_.stop();
  output_meter_.interrupt();
  output_pace_.interrupt();
  if (attempt_) {
    attempt_->pause();
  }
}

void ModelRequest::resume() {
  if (!std::exchange(paused_, false) || !attempt_) {
    return;
  }
  attempt_->resume();
  watchForStall();
}

void ModelRequest::openRecord() {
  RequestRecord record;
  record.request_id = call_.request_id;
  record.stream_id = stream_id_;
  record.tenant = call_.tenant;
  record.service = call_.service;
  record.started = core_.process.clock.now();
  record_ = core_.journal.begin(std::move(record));
}

void ModelRequest::recordAttempt() {
  AttemptRecord attempt;
  attempt.started = core_.process.clock.now();
  attempt.target = route_->engine.name;
  if (route_->prefill_engine) {
    attempt.prefill_target = route_->prefill_engine->name;
  }
  attempt.expected_first_token = route_->expected_first_token;
  attempt.expected_between_tokens = route_->expected_between_tokens;
  attempt.expected_cached_tokens = route_->expected_cached_tokens;
  attempt.resume_from = tokens_given_;
  record_->attempts.push_back(std::move(attempt));
}

void ModelRequest::recordResult(const std::string& result) {
  record_->attempts.back().result = result;
}

}  // namespace cypresswall::execution
