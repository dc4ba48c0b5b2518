/// The state machine of one service request.
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

/// Runs one request. An operation that may be repeated is tried again within budget and time limit.
/// Another one gets a further attempt only if the one before surely did not run; with an
/// idempotency key it runs only under a claim of that key.
class ServiceRun final : public std::enable_shared_from_this<ServiceRun> {
 public:
  ServiceRun(ServiceExecutionCore& core, ServiceCallRequest request, ServiceCallCallback callback);
  /// Called once, after the core has taken the run. Never calls the callback before it returns.
  void start();
  /// The caller went away. What may be repeated is cancelled; what may not goes on to its end, so
  /// that its answer is recorded under its key.
  void abandon();

 private:
  /// \return false if the request was given up: back ends end under it, or its key was taken away
  bool maySend();
  bool admit(const configuration::HttpServiceDeclaration& service);
  void beginIfAdmitted();
  void claimKey();
  void onClaim(const idempotency::ClaimAnswer& answer);
  void onGranted();
  void answerFromRecord(const idempotency::ClaimAnswer& answer);

  void nextAttempt();
  /// \return false if the request was given up: nobody waits, its time is over, or it may not be
  ///   sent
  bool stillWanted();
  /// \param exhausted back ends that take no more requests now
  std::optional<common::Address> nextBackend(const std::set<common::Address>& exhausted);
  /// Asks for a permit to send the request there, and sends it.
  void acquirePermit(const common::Address& backend);
  /// The back end takes no more requests now: another one is chosen.
  void onPermitRefused(const common::Address& backend);
  /// No back end can be chosen.
  void failWithoutBackend(const std::set<common::Address>& exhausted);
  void beginCall(const common::Address& backend);
  common::Duration attemptTimeLimit(common::Duration remaining) const;
  /// Takes in which limit the back end of the last attempt names.
  void noteRateLimit(const services::ServiceResponse& response);
  void onResponse(std::uint32_t attempt, services::ServiceResponse response);
  void onAnswered(services::ServiceResponse response);
  void onProvedNotRun(const services::ServiceResponse& response);
  /// Counts the request for its tenant, once: a back end has answered it, or may have run it.
  void countBegin();
  void onBroken(const services::ServiceResponse& response);
  /// \return the account that pays for repeats
  fleet_limits::RetryBudget& account() const;
  bool payForRetry();
  /// Counts a run. \return false if no further one may be made
  bool payForRun();
  std::uint32_t maximumRuns() const;
  /// Counts the operation's time limit from now and the caller's from the request's arrival.
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
  /// Empty once the caller went away or was answered.
  ServiceCallCallback callback_;
  configuration::HttpServiceDeclaration service_;
  configuration::OperationDeclaration operation_;
  std::optional<admission::AdmissionRequest> admitted_;
  common::MonotonicTime arrival_{};
  common::MonotonicTime deadline_{};
  common::MonotonicTime claim_sent_{};
  common::MonotonicTime attempt_sent_at_{};
  /// When the attempt that is under way is given up.
  common::MonotonicTime attempt_until_{};
  std::set<common::Address> excluded_;
  std::unique_ptr<services::ServiceCall> call_;
  std::shared_ptr<RequestRecord> record_;
  common::TimerId retry_timer_ = 0;
  std::uint32_t attempt_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t unrun_attempts_ = 0;
  bool began_ = false;
  bool claim_held_ = false;
  bool may_have_run_ = false;
  bool starting_ = false;
  bool closed_ = false;
};

}  // namespace cypresswall::execution
