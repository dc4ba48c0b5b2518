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
/// non-repeatable operation is retried only if the previous attempt provably did not run. If the
/// caller gave an idempotency key, a non-repeatable operation is sent to a back end only while this
/// request holds the claim of that key.
class ServiceRun final : public std::enable_shared_from_this<ServiceRun> {
 public:
  ServiceRun(ServiceExecutionCore& core, ServiceCallRequest request, ServiceCallCallback callback);
  /// Must be called once, after the run was added to the core. Never calls the callback
  /// synchronously.
  void start();
  /// Called when the caller disconnects. A repeatable operation is cancelled. A non-repeatable
  /// operation is ended if it was not sent yet; otherwise it continues to its end, so that its
  /// answer is recorded under the idempotency key, if the caller gave one.
  void abandon();

 private:
  /// Ends the request with an error if it is quarantined (because back ends crash on it) or the
  /// caller's API key was revoked.
  /// \return false if the request was ended
  bool checkPermitted();
  bool admit(const configuration::HttpServiceDeclaration& service);
  void beginIfAdmitted();
  void claimKey();
  void onClaim(const idempotency::ClaimAnswer& answer);
  void onGranted();
  void answerFromRecord(const idempotency::ClaimAnswer& answer);

  void nextAttempt();
  /// Ends the request with an error if its caller has disconnected, if the request's deadline has
  /// passed, if this node reaches no back end, or if checkPermitted() fails.
  /// \return false if the request was ended
  bool checkSendable();
  /// Chooses among the back ends that accept calls.
  /// \param exhausted back ends that must not be chosen because their rate limit is exhausted
  std::optional<common::ServerIdentity> nextBackend(const std::set<common::Address>& exhausted);
  /// Asks the rate limiter for a permit to send one request to the back end, and sends the request
  /// once the permit is granted.
  void acquirePermit(const common::ServerIdentity& backend);
  /// Schedules an attempt at another back end, because the rate limiter refused a permit for this
  /// one, or because this one accepts no more calls.
  void onPermitRefused(const common::ServerIdentity& backend);
  /// Ends the request with an error because no back end is eligible.
  /// \param exhausted back ends whose rate limit is exhausted
  void failWithoutBackend(const std::set<common::Address>& exhausted);
  void beginCall(const common::ServerIdentity& backend);
  /// \return false if the back end has said in an answer to this node that it takes no calls now
  bool acceptsCalls(const common::ServerIdentity& backend) const;
  /// \return the time after which the first of the paused back ends takes calls again, extended at
  ///   random so that callers do not return in lockstep; nothing if none is paused
  std::optional<common::Duration> timeUntilPauseEnds() const;
  common::Duration attemptTimeLimit(common::Duration remaining) const;
  /// Passes the rate limit in the response, if there is one, to the rate limiter.
  void reportRateLimit(const services::ServiceResponse& response);
  /// Tells the division of scarce back ends whether this one had room, and how long it took.
  void reportRoom(const services::ServiceResponse& response);
  void onResponse(std::uint32_t attempt, services::ServiceResponse response);
  void onAnswered(services::ServiceResponse response);
  void onProvenNotRun(const services::ServiceResponse& response);
  void onMisdirected(const services::ServiceResponse& response);
  /// Counts the request in the tenant's usage unless it was counted already. To be called when a
  /// back end has answered the request or may have run it.
  void recordUsageOnce();
  void onBroken(const services::ServiceResponse& response);
  /// \return the retry budget that this request's retries are charged to
  fleet_limits::RetryBudget& retryBudget() const;
  /// \return true if the attempt may be sent on a kept connection: a repeat can be paid for, and
  ///   this is not a repeat itself.
  bool mayReuseConnection() const;
  void onStaleConnection(const services::ServiceResponse& response);
  bool chargeRetry();
  /// Counts one run of the request and charges a further run to the retry budget.
  /// \return false if no further run is allowed
  bool chargeRun();
  /// \return false if the retry budget is exhausted
  bool withdrawRetry();
  std::uint32_t maximumRuns() const;
  /// Sets the deadline to the earlier of two times: the operation's time limit counted from now,
  /// and the caller's time limit, if given, counted from the arrival of the request.
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
  void recordAttempt();

  ServiceExecutionCore& core_;
  ServiceCallRequest request_;
  /// Empty once the caller has disconnected or has received the answer.
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
  std::set<common::ServerIdentity> excluded_;
  /// The back end of the current attempt.
  common::ServerIdentity attempted_;
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
