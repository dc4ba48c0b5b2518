/// State machine of one service request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cypresswall/execution/service_execution_core.h"
#include "cypresswall/execution/service_executor.h"

namespace cypresswall::execution {

/// Runs one request. A repeatable operation is retried within the retry budget and time limit. A
/// non-repeatable operation is retried only if the previous attempt provably did not run; with an
/// idempotency key it runs only while the request holds a claim of that key.
class ServiceRun final : public std::enable_shared_from_this<ServiceRun> {
 public:
  ServiceRun(ServiceExecutionCore& core, ServiceCallRequest request, ServiceCallCallback callback);
  /// Must be called once, after the run was added to the core. Never calls the callback
  /// synchronously.
  void start();
  /// Called when the caller disconnects. A repeatable operation is cancelled; a non-repeatable one
  /// continues to its end, so that its answer is recorded under its idempotency key.
  void abandon();

 private:
  /// Fails the request if it is quarantined or its API key was revoked.
  /// \return false if the request was failed
  bool checkPermitted();
  bool admit(const configuration::HttpServiceDeclaration& service);
  void beginIfAdmitted();
  void claimKey();
  void onClaim(const idempotency::ClaimAnswer& answer);
  void onGranted();
  void answerFromRecord(const idempotency::ClaimAnswer& answer);

  void nextAttempt();
  /// Fails the request if the caller disconnected, its deadline has passed or it is not permitted.
  /// \return false if the request was failed
  bool checkSendable();
  /// \param exhausted back ends whose rate limit is currently exhausted
  std::optional<common::Address> nextBackend(const std::set<common::Address>& exhausted);
  /// Requests a rate-limit permit for the back end and sends the request once it is granted.
  void acquirePermit(const common::Address& backend);
  /// The back end's rate limit is exhausted; schedules an attempt at another back end.
  void onPermitRefused(const common::Address& backend);
  /// Fails the request because no back end is eligible.
  void failWithoutBackend(const std::set<common::Address>& exhausted);
  void beginCall(const common::Address& backend);
  common::Duration attemptTimeLimit(common::Duration remaining) const;
  /// Reports the rate limit announced by the last attempt's back end to the rate limiter.
  void reportRateLimit(const services::ServiceResponse& response);
  void onResponse(std::uint32_t attempt, services::ServiceResponse response);
  void onAnswered(services::ServiceResponse response);
  void onProvenNotRun(const services::ServiceResponse& response);
  /// Records the request in the tenant's usage, once, when a back end has answered or may have run
  /// it.
  void recordUsageOnce();
  void onBroken(const services::ServiceResponse& response);
  /// \return the retry budget that repeats are charged to
  fleet_limits::RetryBudget& retryBudget() const;
  bool chargeRetry();
  /// Counts a run and charges the next one to the retry budget.
  /// \return false if no further run is allowed
  bool chargeRun();
  std::uint32_t maximumRuns() const;
  /// Sets the deadline: the operation's time limit counts from now, the caller's from arrival.
  void setDeadline();
  void scheduleAttempt(common::Duration delay);

  bool usesClaim() const { return !operation_.repeatable && !request_.idempotency_key.empty(); }
  std::string claimName() const;
  std::uint64_t claimDigest() const;

  void fail(ErrorKind kind, const std::string& message, common::Duration retry_after);
  void failAs(Outcome outcome, ErrorKind kind, const std::string& message,
              common::Duration retry_after);
  void settleClaim(const ServiceCallAnswer& answer);
  void finish(ServiceCallAnswer answer);
  void close(const std::string& state);
  void openRecord();
  void recordAttempt(const common::Address& backend);

  ServiceExecutionCore& core_;
  ServiceCallRequest request_;
  /// Empty once the caller disconnected or was answered.
  ServiceCallCallback callback_;
  configuration::HttpServiceDeclaration service_;
  configuration::OperationDeclaration operation_;
  std::optional<admission::AdmissionRequest> admitted_;
  common::MonotonicTime arrival_{};
  common::MonotonicTime deadline_{};
  common::MonotonicTime claim_sent_{};
  common::MonotonicTime attempt_sent_at_{};
  /// Time at which the current attempt times out.
  common::MonotonicTime attempt_deadline_{};
  std::set<common::Address> excluded_;
  std::unique_ptr<services::ServiceCall> call_;
  std::shared_ptr<RequestRecord> record_;
  common::TimerId retry_timer_ = 0;
  std::uint32_t attempt_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t unrun_attempts_ = 0;
  bool usage_recorded_ = false;
  bool claim_held_ = false;
  bool may_have_run_ = false;
  bool starting_ = false;
  bool closed_ = false;
};

}  // namespace cypresswall::execution
