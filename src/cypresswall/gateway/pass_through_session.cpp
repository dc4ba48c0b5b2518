#include "cypresswall/gateway/pass_through_session.h"

#include <utility>

namespace cypresswall::gateway {

PassThroughSession::PassThroughSession(GatewayContext& context, const GatewaySettings& settings,
                                       GatewayCounters& counters, execution::ModelCall call,
                                       std::shared_ptr<http::Responder> responder,
                                       ErrorWriter write_error)
    : context_(context),
      counters_(counters),
      call_(std::move(call)),
      request_id_(call_.request_id),
      service_(call_.service),
      responder_(std::move(responder)),
      write_error_(std::move(write_error)),
      flow_control_(context, settings, counters, *responder_, [this] {
        responder_->abort();
        onCallerDisconnected("the caller read nothing for too long");
      }) {}

void PassThroughSession::start(std::function<void()> ended) {
  on_ended_ = std::move(ended);
  responder_->onClosed([this] { onCallerDisconnected("the connection ended"); });
  execution_ = context_.models.start(std::move(call_), *this);
}

void PassThroughSession::onHead(const engines::AnswerHead& head) {
  if (finished_ || std::exchange(head_sent_, true)) {
    return;
  }
  responder_->onDrained([this] {
    if (!finished_) {
      flow_control_.onDrained(*execution_);
    }
  });
  responder_->startStream(head.status, head.headers);
}

void PassThroughSession::onToken(std::uint32_t /*index*/, const std::string& text) {
  if (finished_) {
    return;
  }
  counters_.tokens.add();
  responder_->write(text);
  flow_control_.onWritten(*execution_);
}

void PassThroughSession::onFinished(const engines::StreamUsage& usage) {
  if (finished_) {
    return;
  }
  responder_->finishStream();
  end(execution::toString(execution::Outcome::kDone), usage.finish_reason);
}

void PassThroughSession::onError(const execution::ExecutionError& error) {
  if (finished_) {
    return;
  }
  if (head_sent_) {
    responder_->abort();
  } else {
    write_error_(*responder_, error, request_id_);
  }
  end(execution::toString(error.outcome), error.message);
}

void PassThroughSession::cancel(const execution::ExecutionError& error) {
  execution_.reset();
  onError(error);
}

void PassThroughSession::onCallerDisconnected(const std::string& reason) {
  if (finished_) {
    return;
  }
  execution_.reset();
  end("caller-gone", reason);
}

void PassThroughSession::end(const char* result, const std::string& reason) {
  finished_ = true;
  flow_control_.stop();
  counters_.requestsEnded(result).add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_ended")
      .field("request", request_id_)
      .field("service", service_)
      .field("result", result)
      .field("reason", reason);
  on_ended_();
}

}  // namespace cypresswall::gateway
