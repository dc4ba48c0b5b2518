#include "cypresswall/forwarding/forwarding_model_executor.h"

#include <optional>
#include <utility>

#include "cypresswall/forwarding/deadline.h"
#include "cypresswall/forwarding/encoding.h"
#include "cypresswall/forwarding/forwarded_attempts.h"
#include "cypresswall/forwarding/ordered_answer.h"

namespace cypresswall::forwarding {
namespace {

using execution::ErrorKind;
using execution::ExecutionError;
using execution::Outcome;

std::size_t bodyBytes(const execution::ModelCall& call) {
  return call.prompt.size() + (call.pass_through ? call.pass_through->body.size() : 0);
}

/// An answer that is taken up is forwarded only to nodes that find out which software build began
/// it.
api::MessageSet messagesFor(const execution::ModelCall& call) {
  return call.continues ? api::MessageSet::kAnswerBuilds : api::MessageSet::kForwarding;
}

/// One request; executed locally first, unless the path is known to be lost.
class ModelForwarding final : public execution::ModelExecution,
                              private execution::ModelCallObserver,
                              private ForwardedCallHandler {
 public:
  ModelForwarding(Forwarder& forwarder, bool repeatable, execution::ModelCall call,
                  execution::ModelCallObserver& observer)
      : forwarder_(forwarder),
        call_(std::move(call)),
        observer_(observer),
        deadline_(forwarder, call_.time_limit, [this] { onDeadline(); }),
        attempts_(
            forwarder, *this, repeatable,
            [this](const auto& receiver, std::uint64_t number) { send(receiver, number); },
            messagesFor(call_)),
        answer_(forwarder.context().scheduler, forwarder.settings().part_limit,
                [this] { onPartLost(); }) {}
  ~ModelForwarding() override {
    if (!ended_) {
      attempts_.cancel();
    }
  }
  ModelForwarding(const ModelForwarding&) = delete;
  ModelForwarding& operator=(const ModelForwarding&) = delete;

  void start(execution::ModelExecutor& local) {
    if (!(forwarder_.active() && forward())) {
      execution::ModelCallObserver& observer = *this;
      local_ = local.start(call_, observer);
    }
  }
  void pause() override { setPaused(true); }
  void resume() override { setPaused(false); }

 private:
  bool forward() {
    const bool allowed = !call_.still_allowed || call_.still_allowed();
    if (!allowed || bodyBytes(call_) > forwarder_.settings().maximum_body_bytes ||
        !attempts_.next()) {
      forwarder_.countWithoutReceiver();
      return false;
    }
    deadline_.start();
    if (paused_) {
      attempts_.sendFlow(true);
    }
    return true;
  }
  void send(const common::NodeId& receiver, std::uint64_t number) {
    ForwardedModelCall message = encodeModelCall(call_, deadline_.left());
    message.number = number;
    forwarder_.context().sendTo(receiver, message);
    common::LogEvent(forwarder_.context().log, common::LogLevel::kInfo, "request_forwarded")
        .field("request", call_.request_id)
        .field("receiver", receiver.address);
  }
  void setPaused(bool paused) {
    paused_ = paused;
    if (local_) {
      paused ? local_->pause() : local_->resume();
    }
    attempts_.sendFlow(paused);
  }

  // Of the local execution.
  void onHead(const engines::AnswerHead& head) override { observer_.onHead(head); }
  void onToken(std::uint32_t index, const std::string& text) override {
    observer_.onToken(index, text);
  }
  void onFinished(const engines::StreamUsage& usage) override {
    ended_ = true;
    observer_.onFinished(usage);
  }
  void onError(const ExecutionError& error) override {
    const bool untouched = error.kind == ErrorKind::kPathLost && error.outcome == Outcome::kNotRun;
    if (untouched && forwarder_.active() && forward()) {
      return;
    }
    ended_ = true;
    observer_.onError(error);
  }

  // Of the receiver.
  void onAcknowledged() override { attempts_.acknowledged(); }
  void onRejected() override { failIf(attempts_.rejected()); }
  void onEnded() override { attempts_.ended(); }
  void onReceiverLost() override { failIf(attempts_.receiverLost()); }
  void onHead(const ForwardedHead& head) override {
    attempts_.answerBegan();
    answer_.take(head.sequence, [this, head] {
      observer_.onHead({head.status, decodeHeaders(head.headers)});
    });
  }
  void onToken(const ForwardedToken& token) override {
    attempts_.answerBegan();
    answer_.take(token.sequence, [this, token] { observer_.onToken(token.index, token.text); });
  }
  void onModelEnd(const ForwardedModelEnd& end) override {
    answer_.take(end.sequence, [this, end] { finish(end); });
  }
  void finish(const ForwardedModelEnd& end) {
    if (!end.complete) {
      finishWith(decodeError(end.error));
      return;
    }
    attempts_.close();
    deadline_.stop();
    ended_ = true;
    engines::StreamUsage usage;
    usage.prompt_tokens = end.prompt_tokens;
    usage.cached_prompt_tokens = end.cached_prompt_tokens;
    usage.output_tokens = end.output_tokens;
    usage.finish_reason = end.finish_reason;
    observer_.onFinished(usage);
  }
  void onPartLost() {
    attempts_.cancel();
    fail(ErrorKind::kBackendFailed, Outcome::kUnknown, "a part of the answer was lost");
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
           "no node that reaches an engine took the request");
    } else {
      fail(ErrorKind::kBackendFailed, Outcome::kUnknown,
           "the node that executed the request ended");
    }
  }
  void fail(ErrorKind kind, Outcome outcome, const char* message) {
    finishWith({kind, outcome, message, forwarder_.settings().retry_after});
  }
  void finishWith(const ExecutionError& error) {
    attempts_.close();
    deadline_.stop();
    ended_ = true;
    observer_.onError(error);
  }

  Forwarder& forwarder_;
  const execution::ModelCall call_;
  execution::ModelCallObserver& observer_;
  Deadline deadline_;
  ForwardedAttempts attempts_;
  OrderedAnswer answer_;
  std::unique_ptr<execution::ModelExecution> local_;
  bool paused_ = false;
  bool ended_ = false;
};

/// A model that no service declares has the limits of a service without any.
bool isRepeatable(const configuration::FleetConfiguration& fleet,
                  const common::ServiceName& service) {
  const auto declared = fleet.model_services.find(service);
  return declared == fleet.model_services.end()
             ? configuration::ModelServiceDeclaration{}.repeatable
             : declared->second.repeatable;
}

}  // namespace

std::unique_ptr<execution::ModelExecution> ForwardingModelExecutor::start(
    execution::ModelCall call, execution::ModelCallObserver& observer) {
  const bool repeatable = isRepeatable(*configuration_.current(), call.service);
  auto forwarding =
      std::make_unique<ModelForwarding>(forwarder_, repeatable, std::move(call), observer);
  forwarding->start(local_);
  return forwarding;
}

}  // namespace cypresswall::forwarding
