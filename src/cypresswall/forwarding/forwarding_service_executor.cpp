#include "cypresswall/forwarding/forwarding_service_executor.h"

#include <optional>
#include <utility>

#include "cypresswall/execution/service_operation.h"
#include "cypresswall/forwarding/deadline.h"
#include "cypresswall/forwarding/encoding.h"
#include "cypresswall/forwarding/forwarded_attempts.h"

namespace cypresswall::forwarding {
namespace {

using execution::ErrorKind;
using execution::Outcome;
using execution::ServiceCallAnswer;

/// One request; executed locally first, unless the path is known to be lost.
class ServiceForwarding final : public execution::ServiceExecution, private ForwardedCallHandler {
 public:
  ServiceForwarding(Forwarder& forwarder, bool repeatable, execution::ServiceCallRequest request,
                    execution::ServiceCallCallback callback)
      : forwarder_(forwarder),
        request_(std::move(request)),
        callback_(std::move(callback)),
        deadline_(forwarder, request_.time_limit, [this] { onDeadline(); }),
        attempts_(forwarder, *this, repeatable,
                  [this](const auto& receiver, std::uint64_t number) { send(receiver, number); }) {}
  ~ServiceForwarding() override {
    if (!ended_) {
      attempts_.cancel();
    }
  }
  ServiceForwarding(const ServiceForwarding&) = delete;
  ServiceForwarding& operator=(const ServiceForwarding&) = delete;

  void start(execution::ServiceExecutor& local) {
    if (!(forwarder_.active() && forward())) {
      local_ = local.start(request_,
                           [this](ServiceCallAnswer answer) { onLocalAnswer(std::move(answer)); });
    }
  }

 private:
  bool forward() {
    const bool allowed = !request_.still_allowed || request_.still_allowed();
    if (!allowed || request_.body.size() > forwarder_.settings().maximum_body_bytes ||
        !attempts_.next()) {
      forwarder_.countWithoutReceiver();
      return false;
    }
    deadline_.start();
    return true;
  }
  void send(const common::NodeId& receiver, std::uint64_t number) {
    ForwardedServiceCall message = encodeServiceCall(request_, deadline_.left());
    message.number = number;
    forwarder_.context().sendTo(receiver, message);
    common::LogEvent(forwarder_.context().log, common::LogLevel::kInfo, "request_forwarded")
        .field("request", request_.request_id)
        .field("receiver", receiver.address);
  }

  void onLocalAnswer(ServiceCallAnswer answer) {
    const bool untouched = answer.status == 0 && answer.error.kind == ErrorKind::kPathLost &&
                           answer.outcome == Outcome::kNotRun && request_.idempotency_key.empty();
    if (!untouched || !forwarder_.active() || !forward()) {
      finish(std::move(answer));
    }
  }

  void onAcknowledged() override { attempts_.acknowledged(); }
  void onRejected() override { failIf(attempts_.rejected()); }
  void onEnded() override { attempts_.ended(); }
  void onReceiverLost() override { failIf(attempts_.receiverLost()); }
  void onServiceAnswer(const ForwardedServiceAnswer& answer) override {
    finish(decodeServiceAnswer(answer));
  }

  void onDeadline() {
    attempts_.cancel();
    fail(ErrorKind::kDeadlineExceeded, Outcome::kUnknown, "the request's time limit has passed");
  }
  void failIf(std::optional<ForwardedAttempts::Failure> failure) {
    if (!failure) {
      return;
    }
    if (*failure == ForwardedAttempts::Failure::kNoReceiver) {
      forwarder_.countWithoutReceiver();
      fail(ErrorKind::kPathLost, Outcome::kNotRun,
           "no node that reaches a back end took the request");
    } else {
      fail(ErrorKind::kBackendFailed, Outcome::kUnknown,
           "the node that executed the request ended");
    }
  }
  void fail(ErrorKind kind, Outcome outcome, const char* message) {
    ServiceCallAnswer answer;
    answer.outcome = outcome;
    answer.error = {kind, outcome, message, forwarder_.settings().retry_after};
    finish(std::move(answer));
  }
  void finish(ServiceCallAnswer answer) {
    attempts_.close();
    deadline_.stop();
    ended_ = true;
    std::exchange(callback_, nullptr)(std::move(answer));
  }

  Forwarder& forwarder_;
  const execution::ServiceCallRequest request_;
  execution::ServiceCallCallback callback_;
  Deadline deadline_;
  ForwardedAttempts attempts_;
  std::unique_ptr<execution::ServiceExecution> local_;
  bool ended_ = false;
};

bool isRepeatable(const configuration::FleetConfiguration& fleet,
                  const execution::ServiceCallRequest& request) {
  const auto service = fleet.http_services.find(request.service);
  return service != fleet.http_services.end() &&
         execution::findOperation(service->second, request.method, request.target).repeatable;
}

}  // namespace

std::unique_ptr<execution::ServiceExecution> ForwardingServiceExecutor::start(
    execution::ServiceCallRequest request, execution::ServiceCallCallback callback) {
  const bool repeatable = isRepeatable(*configuration_.current(), request);
  auto forwarding = std::make_unique<ServiceForwarding>(forwarder_, repeatable, std::move(request),
                                                        std::move(callback));
  forwarding->start(local_);
  return forwarding;
}

}  // namespace cypresswall::forwarding
