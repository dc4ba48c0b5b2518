#include "cypresswall/execution/service_run.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

#include "cypresswall/common/prompt.h"
#include "cypresswall/execution/backend_choice.h"
#include "cypresswall/execution/recorded_answer.h"
#include "cypresswall/execution/refusal_error.h"
#include "cypresswall/execution/service_operation.h"

namespace cypresswall::execution {
namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kRetryAfterHeader = "Retry-After";
constexpr int kFirstServerError = 500;
/// Statuses that say nothing about the request itself: another back end may do better.
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// Part of the remaining time that one of several attempts may use.
constexpr int kAttemptsPerRemainingTime = 2;

bool sameName(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

common::Duration retryAfterOf(const services::ServiceResponse& response,
                              common::Duration otherwise) {
  for (const auto& header : response.headers) {
    if (sameName(header.name, kRetryAfterHeader)) {
      const auto seconds = std::strtol(header.value.c_str(), nullptr, 10);
      return std::max<common::Duration>(std::chrono::seconds(seconds), otherwise);
    }
  }
  return otherwise;
}

}  // namespace

ServiceRun::ServiceRun(ServiceExecutionCore& core, ServiceCallRequest request,
                       ServiceCallCallback callback)
    : core_(core), request_(std::move(request)), callback_(std::move(callback)) {}

void ServiceRun::start() {
  starting_ = true;
  core_.counters.started.add();
  core_.budget.requestStarted();
  const auto fleet = core_.interfaces.configuration.current();
  const auto declared = fleet->http_services.find(request_.service);
  if (declared == fleet->http_services.end()) {
    fail(ErrorKind::kUnknownService, "no service is named " + request_.service,
         common::Duration{0});
  } else if (admit(declared->second)) {
    service_ = declared->second;
    operation_ = findOperation(service_, request_.method, request_.target);
    deadline_ = core_.process.clock.now() + operation_.time_limit;
    if (usesClaim()) {
      claimKey();
    } else {
      nextAttempt();
    }
  }
  starting_ = false;
}

bool ServiceRun::admit(const configuration::HttpServiceDeclaration& service) {
  admission::AdmissionRequest request;
  request.tenant = request_.tenant;
  request.service = request_.service;
  request.urgency = service.urgency;
  const auto refusal = core_.interfaces.admission.admit(request);
  if (refusal) {
    fail(errorKindOf(refusal->reason), refusal->message, refusal->retry_after);
    return false;
  }
  admitted_ = std::move(request);
  return true;
}

void ServiceRun::claimKey() {
  claim_sent_ = core_.process.clock.now();
  core_.interfaces.claims.claim(claimName(), claimDigest(),
                                [weak = weak_from_this()](const idempotency::ClaimAnswer& answer) {
                                  if (const auto self = weak.lock()) {
                                    self->onClaim(answer);
                                  }
                                });
}

void ServiceRun::onClaim(const idempotency::ClaimAnswer& answer) {
  if (closed_) {
    return;
  }
  const auto retry_after = std::max(answer.retry_after, core_.settings.default_retry_after);
  switch (answer.verdict) {
    case idempotency::ClaimVerdict::kGranted:
      onGranted();
      return;
    case idempotency::ClaimVerdict::kCompleted:
      answerFromRecord(answer);
      return;
    case idempotency::ClaimVerdict::kInProgress:
      failAs(Outcome::kUnknown, ErrorKind::kInProgress,
             "an earlier request with this idempotency key has not ended", retry_after);
      return;
    case idempotency::ClaimVerdict::kDifferentBody:
      failAs(Outcome::kNotRun, ErrorKind::kKeyReused,
             "the idempotency key was used for another request", common::Duration{0});
      return;
    case idempotency::ClaimVerdict::kUncertain:
      failAs(Outcome::kUnknown, ErrorKind::kBackendFailed,
             "whether the request with this idempotency key ran can't be known", retry_after);
      return;
    case idempotency::ClaimVerdict::kUnavailable:
      failAs(Outcome::kNotRun, ErrorKind::kNoBackend,
             "the idempotency key can't be claimed at present", retry_after);
      return;
  }
}

/// Why the operation still runs at most once if this process pauses between grant and send: a claim
/// is granted to one attempt, and never again as long as its holders remember it; if they forget
/// it, the key becomes uncertain, which grants nothing. Holders drop old claims only long after
/// `claim_use_limit`, so a grant that is read later than that is not used, and not given back
/// either, since it may no longer be this attempt's to give. A pause between this check and the
/// send leaves that retention, and the key in the request's header, between it and a second run.
void ServiceRun::onGranted() {
  const auto age = core_.process.clock.now() - claim_sent_;
  if (age > core_.settings.claim_use_limit) {
    core_.counters.late_grants.add();
    failAs(Outcome::kNotRun, ErrorKind::kDeadlineExceeded,
           "the claim of the idempotency key came too late", core_.settings.default_retry_after);
    return;
  }
  claim_held_ = true;
  deadline_ = core_.process.clock.now() + operation_.time_limit;
  nextAttempt();
}

void ServiceRun::answerFromRecord(const idempotency::ClaimAnswer& answer) {
  auto recorded = decodeRecordedAnswer(answer.recorded_answer);
  if (recorded) {
    finish(std::move(*recorded));
    return;
  }
  failAs(Outcome::kDone, ErrorKind::kBackendFailed,
         "the request ran before; its answer was too large to be kept", common::Duration{0});
}

void ServiceRun::nextAttempt() {
  if (!callback_) {
    fail(ErrorKind::kDeadlineExceeded, "the caller went away before the request was sent",
         common::Duration{0});
    return;
  }
  if (deadline_ <= core_.process.clock.now()) {
    fail(ErrorKind::kDeadlineExceeded, "the operation's time limit has passed",
         core_.settings.default_retry_after);
    return;
  }
  const auto backend = nextBackend();
  if (!backend) {
    fail(ErrorKind::kNoBackend, "no back end of " + request_.service + " can take the request",
         core_.settings.default_retry_after);
    return;
  }
  beginCall(*backend);
}

std::optional<common::Address> ServiceRun::nextBackend() {
  const auto fleet = core_.interfaces.configuration.current();
  const auto choose = [&] {
    return chooseBackend(service_, *fleet, core_.interfaces.membership, excluded_,
                         core_.process.random);
  };
  auto backend = choose();
  if (!backend && operation_.repeatable && !excluded_.empty()) {
    excluded_.clear();
    backend = choose();
  }
  return backend;
}

void ServiceRun::beginCall(const common::Address& backend) {
  const auto remaining = deadline_ - core_.process.clock.now();
  services::ServiceRequest call;
  call.request_id = request_.request_id;
  call.attempt = ++attempt_;
  call.method = request_.method;
  call.target = request_.target;
  call.headers = headersForBackend();
  call.body = request_.body;
  call.time_limit = attemptTimeLimit(remaining);
  excluded_.insert(backend);
  core_.counters.attempts.add();
  call_ = core_.interfaces.client.call(
      backend, std::move(call),
      [weak = weak_from_this(), attempt = attempt_](services::ServiceResponse response) {
        if (const auto self = weak.lock()) {
          self->onResponse(attempt, std::move(response));
        }
      });
}

common::Duration ServiceRun::attemptTimeLimit(common::Duration remaining) const {
  const bool retry_possible = operation_.repeatable && service_.backends.size() > 1 &&
                              runs_ + 1 < core_.settings.maximum_runs && core_.budget.available();
  return retry_possible ? remaining / kAttemptsPerRemainingTime : remaining;
}

std::vector<services::HttpHeader> ServiceRun::headersForBackend() const {
  std::vector<services::HttpHeader> headers;
  for (const auto& header : request_.headers) {
    if (!sameName(header.name, kRequestIdHeader) && !sameName(header.name, kKeyHeader)) {
      headers.push_back(header);
    }
  }
  headers.push_back({kRequestIdHeader, request_.request_id});
  if (!operation_.repeatable) {
    const auto& key =
        request_.idempotency_key.empty() ? request_.request_id : request_.idempotency_key;
    headers.push_back({kKeyHeader, key});
  }
  return headers;
}

void ServiceRun::onResponse(std::uint32_t attempt, services::ServiceResponse response) {
  if (closed_ || attempt != attempt_ || !call_) {
    core_.counters.late_answers.add();
    return;
  }
  core_.ended_calls.add(std::move(call_));
  switch (response.outcome) {
    case services::ServiceOutcome::kAnswered:
      onAnswered(std::move(response));
      return;
    case services::ServiceOutcome::kNotSent:
    case services::ServiceOutcome::kRefused:
      onProvedNotRun(response);
      return;
    case services::ServiceOutcome::kBroken:
      onBroken(response);
      return;
  }
}

void ServiceRun::onAnswered(services::ServiceResponse response) {
  const bool elsewhere_may_help =
      response.status >= kBadGateway && response.status <= kGatewayTimeout;
  if (operation_.repeatable && elsewhere_may_help && payForRetry()) {
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

void ServiceRun::onProvedNotRun(const services::ServiceResponse& response) {
  ++unrun_attempts_;
  if (unrun_attempts_ >= core_.settings.maximum_unrun_attempts) {
    const auto kind = response.outcome == services::ServiceOutcome::kRefused
                          ? ErrorKind::kOverloaded
                          : ErrorKind::kNoBackend;
    fail(kind, response.error, retryAfterOf(response, core_.settings.default_retry_after));
    return;
  }
  core_.counters.retries_after_no_run.add();
  scheduleAttempt(backoffBefore(unrun_attempts_, core_.settings, core_.process.random));
}

void ServiceRun::onBroken(const services::ServiceResponse& response) {
  may_have_run_ = true;
  if (operation_.repeatable && payForRetry()) {
    scheduleAttempt(backoffBefore(runs_, core_.settings, core_.process.random));
    return;
  }
  fail(ErrorKind::kBackendFailed, response.error, core_.settings.default_retry_after);
}

bool ServiceRun::payForRetry() {
  ++runs_;
  if (runs_ >= core_.settings.maximum_runs || deadline_ <= core_.process.clock.now()) {
    return false;
  }
  if (!core_.budget.withdraw()) {
    core_.counters.budget_spent.add();
    return false;
  }
  core_.counters.retries_after_run.add();
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

std::string ServiceRun::claimName() const {
  return request_.tenant + "\n" + request_.service + "\n" + request_.idempotency_key;
}

std::uint64_t ServiceRun::claimDigest() const {
  const auto target = common::hash64(request_.target, common::hash64(request_.method));
  return common::hash64(request_.body, target);
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
      .field("service", request_.service)
      .field("outcome", toString(outcome))
      .field("reason", message);
  settleClaim(answer);
  finish(std::move(answer));
}

/// A claim is given back only if the operation surely did not run; an unknown outcome is recorded
/// like an answer, so that a caller who asks again hears it and nothing runs.
void ServiceRun::settleClaim(const ServiceCallAnswer& answer) {
  if (!std::exchange(claim_held_, false)) {
    return;
  }
  if (answer.outcome == Outcome::kNotRun) {
    core_.interfaces.claims.release(claimName());
    return;
  }
  core_.interfaces.claims.complete(
      claimName(), encodeRecordedAnswer(answer, core_.settings.maximum_recorded_bytes));
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
  close();
  if (!callback_) {
    core_.counters.finished_unheard.add();
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
  close();
}

void ServiceRun::close() {
  closed_ = true;
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

}  // namespace cypresswall::execution
