#include "cypresswall/execution/service_run.h"

#include <algorithm>
#include <utility>

#include "cypresswall/availability/announced_availability.h"
#include "cypresswall/execution/backend_choice.h"
#include "cypresswall/execution/backoff.h"
#include "cypresswall/execution/refusal_error.h"
#include "cypresswall/execution/service_headers.h"
#include "cypresswall/execution/service_operation.h"

namespace cypresswall::execution {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kInternalError = 500;
/// First and last status of the range 502 to 504. These statuses do not depend on the request
/// itself, so that a retry at another back end may succeed.
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// If a retry is possible, the time limit of an attempt is the request's remaining time divided by
/// this number, so that time is left for the retry.
constexpr int kAttemptsPerRemainingTime = 2;
/// Retry-After is extended at random by up to this share, so that callers don't retry in lockstep.
constexpr double kRetryJitter = 0.25;

common::ServerIdentity identityOf(const configuration::BackendDeclaration& backend) {
  return {backend.machine, backend.address};
}

std::string resultOf(const services::ServiceResponse& response) {
  if (response.outcome == services::ServiceOutcome::kAnswered) {
    const std::string status = "status " + std::to_string(response.status);
    return response.extent.empty() ? status : status + ", " + response.extent;
  }
  return response.error.empty() ? "no answer" : response.error;
}

}  // namespace

ServiceRun::ServiceRun(ServiceExecutionCore& core, ServiceCallRequest request,
                       ServiceCallCallback callback)
    : core_(core), request_(std::move(request)), callback_(std::move(callback)) {}

void ServiceRun::start() {
  starting_ = true;
  arrival_ = core_.process.clock.now();
  openRecord();
  core_.counters.started.add();
  const auto fleet = core_.interfaces.configuration.current();
  const auto declared = fleet->http_services.find(request_.service);
  if (declared == fleet->http_services.end()) {
    fail(ErrorKind::kUnknownService, "no service is named " + request_.service,
         common::Duration{0});
  } else {
    service_ = declared->second;
    if (checkPermitted()) {
      retryBudget().recordRequest();
      beginIfAdmitted();
    }
  }
  starting_ = false;
}

bool ServiceRun::checkPermitted() {
  if (request_.still_allowed && !request_.still_allowed()) {
    fail(ErrorKind::kKeyRevoked, "the caller's key was taken away", common::Duration{0});
    return false;
  }
  const auto quarantined_for =
      core_.interfaces.quarantine.quarantinedFor({request_.fingerprint, {}});
  if (quarantined_for) {
    fail(ErrorKind::kQuarantined, "back ends end under this request", *quarantined_for);
  }
  return !quarantined_for;
}

void ServiceRun::beginIfAdmitted() {
  if (!admit(service_)) {
    return;
  }
  operation_ = findOperation(service_, request_.method, request_.target);
  setDeadline();
  if (usesClaim()) {
    claimKey();
  } else {
    nextAttempt();
  }
}

void ServiceRun::setDeadline() {
  deadline_ = core_.process.clock.now() + operation_.time_limit;
  if (request_.time_limit > common::Duration{0}) {
    deadline_ = std::min(deadline_, arrival_ + request_.time_limit);
  }
}

fleet_limits::RetryBudget& ServiceRun::retryBudget() const {
  return core_.interfaces.retries.of(service_.backend_pool.empty() ? service_.name
                                                                   : service_.backend_pool);
}

std::uint32_t ServiceRun::maximumRuns() const {
  return operation_.maximum_runs > 0 ? operation_.maximum_runs : core_.settings.maximum_runs;
}

bool ServiceRun::admit(const configuration::HttpServiceDeclaration& service) {
  admission::AdmissionRequest request;
  request.tenant = request_.tenant;
  request.service = request_.service;
  request.quota_tokens = request_.quota_tokens;
  request.urgency = request_.urgency.value_or(service.urgency);
  const auto refusal = core_.interfaces.admission.admit(request);
  if (refusal) {
    fail(errorKindOf(refusal->reason), refusal->message, refusal->retry_after);
    return false;
  }
  admitted_ = std::move(request);
  return true;
}

bool ServiceRun::checkSendable() {
  if (!callback_) {
    fail(ErrorKind::kDeadlineExceeded, "the caller went away before the request was sent",
         common::Duration{0});
    return false;
  }
  if (deadline_ <= core_.process.clock.now()) {
    fail(ErrorKind::kDeadlineExceeded, "the request's time limit has passed",
         core_.settings.default_retry_after);
    return false;
  }
  if (core_.interfaces.server_path != nullptr && core_.interfaces.server_path->lost() &&
      !may_have_run_) {
    fail(ErrorKind::kPathLost, "this node reaches no back end", core_.settings.default_retry_after);
    return false;
  }
  return checkPermitted();
}

void ServiceRun::nextAttempt() {
  if (!checkSendable()) {
    return;
  }
  const auto servers = core_.interfaces.rate_limiter.exhausted();
  const std::set<common::Address> exhausted(servers.begin(), servers.end());
  const auto backend = nextBackend(exhausted);
  if (backend) {
    acquirePermit(*backend);
  } else {
    failWithoutBackend(exhausted);
  }
}

std::optional<common::ServerIdentity> ServiceRun::nextBackend(
    const std::set<common::Address>& exhausted) {
  const auto fleet = core_.interfaces.configuration.current();
  // Back ends may have been added or taken away since the request began.
  const auto declared = fleet->http_services.find(request_.service);
  if (declared != fleet->http_services.end()) {
    service_.backends = declared->second.backends;
  }
  const auto choose = [&] {
    std::set<common::ServerIdentity> skipped = excluded_;
    for (const auto& backend : service_.backends) {
      const auto identity = identityOf(backend);
      if (exhausted.contains(backend.address) || !acceptsCalls(identity)) {
        skipped.insert(identity);
      }
    }
    return chooseBackend(service_, *fleet, core_.interfaces.membership, skipped,
                         core_.process.random);
  };
  auto backend = choose();
  if (!backend && operation_.repeatable && !excluded_.empty()) {
    excluded_.clear();
    backend = choose();
  }
  return backend;
}

void ServiceRun::failWithoutBackend(const std::set<common::Address>& exhausted) {
  std::vector<std::string> limited;
  for (const auto& backend : service_.backends) {
    if (exhausted.contains(backend.address)) {
      limited.push_back(backend.address);
    }
  }
  if (const auto pause = timeUntilPauseEnds(); pause && limited.empty()) {
    fail(ErrorKind::kOverloaded, "back ends of " + request_.service + " want no requests for now",
         *pause);
    return;
  }
  if (limited.empty()) {
    fail(ErrorKind::kNoBackend, "no back end of " + request_.service + " can take the request",
         core_.settings.default_retry_after);
    return;
  }
  const std::size_t nodes = std::max<std::size_t>(core_.interfaces.membership.members().size(), 1);
  fail(ErrorKind::kOverloaded,
       "back ends of " + request_.service + " take no more requests for now",
       core_.interfaces.rate_limiter.retryAfter(request_.service, limited, nodes));
}

void ServiceRun::acquirePermit(const common::ServerIdentity& backend) {
  const auto asked_at = core_.process.clock.now();
  core_.interfaces.rate_limiter.acquire(
      backend.address, [weak = weak_from_this(), backend, asked_at](bool granted) {
        const auto self = weak.lock();
        if (!self || self->closed_) {
          return;
        }
        // If the rate limiter had to ask another node, the caller may have disconnected or the
        // deadline may have passed in the meantime.
        const bool immediate = self->core_.process.clock.now() == asked_at;
        if (!granted || !self->acceptsCalls(backend)) {
          self->onPermitRefused(backend);
        } else if (immediate || self->checkSendable()) {
          self->beginCall(backend);
        }
      });
}

void ServiceRun::onPermitRefused(const common::ServerIdentity& backend) {
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "permit_refused")
      .field("request", request_.request_id)
      .field("server", backend.toString());
  excluded_.insert(backend);
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts) {
    failWithoutBackend({backend.address});
    return;
  }
  core_.counters.retries_after_no_run.add();
  scheduleAttempt(backoffBefore(unrun_attempts_, core_.settings, core_.process.random));
}

void ServiceRun::beginCall(const common::ServerIdentity& backend) {
  const auto remaining = deadline_ - core_.process.clock.now();
  services::ServiceRequest call;
  call.request_id = request_.request_id;
  call.attempt = ++attempt_;
  call.method = request_.method;
  call.target = request_.target;
  call.headers = headersForBackend(request_, operation_.repeatable);
  call.body = request_.body;
  call.time_limit = attemptTimeLimit(remaining);
  call.may_reuse_connection = mayReuseConnection();
  attempt_sent_at_ = core_.process.clock.now();
  attempt_deadline_ = attempt_sent_at_ + call.time_limit;
  excluded_.insert(backend);
  attempted_ = backend;
  recordAttempt();
  core_.counters.attempts.add();
  call_ = core_.interfaces.client.call(
      backend, std::move(call),
      [weak = weak_from_this(), attempt = attempt_](services::ServiceResponse response) {
        if (const auto self = weak.lock()) {
          self->onResponse(attempt, std::move(response));
        }
      });
}

bool ServiceRun::acceptsCalls(const common::ServerIdentity& backend) const {
  return core_.interfaces.announced.acceptsRequests(backend.toString());
}

std::optional<common::Duration> ServiceRun::timeUntilPauseEnds() const {
  const auto& announced = core_.interfaces.announced;
  const auto now = core_.process.clock.now();
  std::optional<common::Duration> shortest;
  for (const auto& backend : service_.backends) {
    const std::string name = identityOf(backend).toString();
    const auto left = announced.pausedUntil(name) - now;
    if (left > common::Duration{0} && !announced.leaving(name)) {
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  if (!shortest) {
    return std::nullopt;
  }
  return common::fromSeconds(common::toSeconds(*shortest) *
                             (1.0 + kRetryJitter * core_.process.random.unit()));
}

common::Duration ServiceRun::attemptTimeLimit(common::Duration remaining) const {
  const bool retry_possible = operation_.repeatable && service_.backends.size() > 1 &&
                              runs_ + 1 < maximumRuns() && retryBudget().available();
  return retry_possible ? remaining / kAttemptsPerRemainingTime : remaining;
}

void ServiceRun::onResponse(std::uint32_t attempt, services::ServiceResponse response) {
  if (closed_ || attempt != attempt_ || !call_) {
    core_.counters.late_answers.add();
    return;
  }
  core_.ended_calls.add(std::move(call_));
  record_->attempts.back().result = resultOf(response);
  reportRateLimit(response);
  reportRoom(response);
  switch (response.outcome) {
    case services::ServiceOutcome::kAnswered:
      onAnswered(std::move(response));
      return;
    case services::ServiceOutcome::kNotSent:
    case services::ServiceOutcome::kRefused:
      onProvenNotRun(response);
      return;
    case services::ServiceOutcome::kMisdirected:
      onMisdirected(response);
      return;
    case services::ServiceOutcome::kBroken:
      onBroken(response);
      return;
    case services::ServiceOutcome::kStale:
      onStaleConnection(response);
      return;
  }
}

void ServiceRun::reportRateLimit(const services::ServiceResponse& response) {
  if (response.rate_limit) {
    core_.interfaces.rate_limiter.answered(attempted_.address, *response.rate_limit,
                                           attempt_sent_at_);
  }
}

void ServiceRun::reportRoom(const services::ServiceResponse& response) {
  admission::FairShares* const shares = core_.interfaces.fair_shares;
  if (shares == nullptr || !shares->limitsServices() || !admitted_) {
    return;
  }
  const std::string pool = admission::servicePool(service_);
  if (response.outcome == services::ServiceOutcome::kAnswered) {
    shares->recordAnswer(pool, admitted_->urgency, core_.process.clock.now() - attempt_sent_at_);
  } else if (response.outcome == services::ServiceOutcome::kRefused && acceptsCalls(attempted_)) {
    shares->recordPlaced(pool, admitted_->urgency, true);
  }
}

void ServiceRun::recordUsageOnce() {
  if (!std::exchange(usage_recorded_, true)) {
    core_.interfaces.usage.requestBegan(request_.tenant);
  }
}

void ServiceRun::onAnswered(services::ServiceResponse response) {
  recordUsageOnce();
  core_.interfaces.quarantine.answered({request_.fingerprint, {}});
  const bool retry_may_help =
      response.status == kInternalError ||
      (response.status >= kBadGateway && response.status <= kGatewayTimeout);
  if (operation_.repeatable && retry_may_help && chargeRetry()) {
    may_have_run_ = true;
    scheduleAttempt(backoffBefore(runs_, core_.settings, core_.process.random));
    return;
  }
  ServiceCallAnswer answer;
  answer.outcome = response.status < kFirstServerError ? Outcome::kDone : Outcome::kUnknown;
  answer.status = response.status;
  answer.headers = std::move(response.headers);
  answer.body = std::move(response.body);
  settleClaim(answer);
  finish(std::move(answer));
}

void ServiceRun::onProvenNotRun(const services::ServiceResponse& response) {
  const bool refused = response.outcome == services::ServiceOutcome::kRefused;
  const bool charged = refused && core_.settings.charge_refused_attempts;
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts || (charged && !chargeRun())) {
    const auto kind = refused ? ErrorKind::kOverloaded : ErrorKind::kNoBackend;
    fail(kind, response.error, retryAfterOf(response, core_.settings.default_retry_after));
    return;
  }
  core_.counters.retries_after_no_run.add();
  scheduleAttempt(backoffBefore(unrun_attempts_, core_.settings, core_.process.random));
}

/// The back end that was chosen has had no attempt, so that this one does not count as a run.
void ServiceRun::onMisdirected(const services::ServiceResponse& response) {
  core_.counters.misdirected.add();
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "service_call_misdirected")
      .field("request", request_.request_id)
      .field("server", attempted_.toString());
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts || !withdrawRetry()) {
    fail(ErrorKind::kNoBackend, response.error, core_.settings.default_retry_after);
    return;
  }
  scheduleAttempt(common::Duration{0});
}

void ServiceRun::onBroken(const services::ServiceResponse& response) {
  may_have_run_ = true;
  recordUsageOnce();
  // Only a call that broke before the attempt's time-out is reported to the quarantine as a
  // possible crash: a back end that merely answers too late has not crashed.
  if (core_.process.clock.now() < attempt_deadline_) {
    core_.interfaces.quarantine.callBroken(request_.fingerprint, attempted_.address);
  }
  if (operation_.repeatable && chargeRetry()) {
    scheduleAttempt(backoffBefore(runs_, core_.settings, core_.process.random));
    return;
  }
  fail(ErrorKind::kBackendFailed, response.error, core_.settings.default_retry_after);
}

bool ServiceRun::mayReuseConnection() const {
  return operation_.repeatable && runs_ == 0 && runs_ + 1 < maximumRuns() &&
         retryBudget().available();
}

void ServiceRun::onStaleConnection(const services::ServiceResponse& response) {
  may_have_run_ = true;
  recordUsageOnce();
  // The back end is not at fault, so it may be chosen again.
  excluded_.erase(attempted_);
  if (operation_.repeatable && chargeRetry()) {
    scheduleAttempt(common::Duration{0});
    return;
  }
  fail(ErrorKind::kBackendFailed, response.error, core_.settings.default_retry_after);
}

bool ServiceRun::chargeRetry() {
  if (!chargeRun()) {
    return false;
  }
  core_.counters.retries_after_run.add();
  return true;
}

bool ServiceRun::chargeRun() {
  ++runs_;
  if (runs_ >= maximumRuns() || deadline_ <= core_.process.clock.now()) {
    return false;
  }
  return withdrawRetry();
}

bool ServiceRun::withdrawRetry() {
  if (!retryBudget().withdraw()) {
    core_.counters.retry_budget_exhausted.add();
    return false;
  }
  return true;
}

void ServiceRun::scheduleAttempt(common::Duration delay) {
  retry_timer_ = core_.process.scheduler.schedule(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->retry_timer_ = 0;
      self->nextAttempt();
    }
  });
}

void ServiceRun::fail(ErrorKind kind, const std::string& message, common::Duration retry_after) {
  failAs(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun, kind, message, retry_after);
}

void ServiceRun::failAs(Outcome outcome, ErrorKind kind, const std::string& message,
                        common::Duration retry_after) {
  ServiceCallAnswer answer;
  answer.outcome = outcome;
  answer.error = {kind, outcome, message, retry_after};
  common::LogEvent(core_.process.log, common::LogLevel::kWarning, "service_request_failed")
      .field("request", request_.request_id)
      .field("fingerprint", common::toString(request_.fingerprint))
      .field("service", request_.service)
      .field("outcome", toString(outcome))
      .field("reason", message);
  settleClaim(answer);
  finish(std::move(answer));
}

void ServiceRun::finish(ServiceCallAnswer answer) {
  const auto self = shared_from_this();
  switch (answer.outcome) {
    case Outcome::kDone:
      core_.counters.done.add();
      break;
    case Outcome::kNotRun:
      core_.counters.failed_not_run.add();
      break;
    case Outcome::kUnknown:
      core_.counters.failed_unknown.add();
      break;
  }
  close(std::string(toString(answer.outcome)) + (answer.status != 0
                                                     ? ", status " + std::to_string(answer.status)
                                                     : ": " + answer.error.message));
  if (!callback_) {
    core_.counters.finished_after_abandon.add();
    return;
  }
  if (!starting_) {
    std::exchange(callback_, nullptr)(std::move(answer));
    return;
  }
  core_.process.scheduler.schedule(common::Duration{0}, [self, answer = std::move(answer)] {
    if (self->callback_) {
      std::exchange(self->callback_, nullptr)(answer);
    }
  });
}

void ServiceRun::abandon() {
  callback_ = nullptr;
  if (closed_ || !operation_.repeatable) {
    return;
  }
  core_.counters.abandoned.add();
  close("the caller went away");
}

void ServiceRun::close(const std::string& state) {
  closed_ = true;
  core_.journal.end(record_, state, core_.process.clock.now());
  core_.process.scheduler.cancel(std::exchange(retry_timer_, 0));
  if (call_) {
    core_.ended_calls.add(std::move(call_));
  }
  if (admitted_) {
    core_.interfaces.admission.released(*admitted_);
    admitted_.reset();
  }
  core_.remove(*this);
}

void ServiceRun::openRecord() {
  RequestRecord record;
  record.request_id = request_.request_id;
  record.tenant = request_.tenant;
  record.service = request_.service;
  record.started = core_.process.clock.now();
  record_ = core_.journal.begin(std::move(record));
}

void ServiceRun::recordAttempt() {
  AttemptRecord attempt;
  attempt.started = core_.process.clock.now();
  attempt.target = attempted_.address;
  record_->attempts.push_back(std::move(attempt));
}

}  // namespace cypresswall::execution
