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
      pace_(context, settings, counters, *responder_, [this] {
        responder_->abort();
        callerGone("the caller read nothing for too long");
      }) {}

void PassThroughSession::start(std::function<void()> ended) {
  ended_ = std::move(ended);
  responder_->onClosed([this] { callerGone("the connection ended"); });
  execution_ = context_.models.start(std::move(call_), *this);
}

void PassThroughSession::onHead(const engines::AnswerHead& head) {
  if (over_ || std::exchange(head_given_, true)) {
    return;
  }
  responder_->onDrained([this] {
    if (!over_) {
      pace_.drained(*execution_);
    }
  });
  responder_->startStream(head.status, head.headers);
}

void PassThroughSession::onToken(std::uint32_t /*index*/, const std::string& text) {
  if (over_) {
    return;
  }
  counters_.tokens.add();
  responder_->write(text);
  pace_.written(*execution_);
}

void PassThroughSession::onFinished(const engines::StreamUsage& usage) {
  if (over_) {
    return;
  }
  responder_->finishStream();
  end(execution::toString(execution::Outcome::kDone), usage.finish_reason);
}

void PassThroughSession::onError(const execution::ExecutionError& error) {
  if (over_) {
    return;
  }
  if (head_given_) {
    responder_->abort();
  } else {
    write_error_(*responder_, error, request_id_);
  }
  end(execution::toString(error.outcome), error.message);
}

void PassThroughSession::callerGone(const std::string& reason) {
  if (over_) {
    return;
  }
  execution_.reset();
  end("caller-gone", reason);
}

void PassThroughSession::end(const char* result, const std::string& reason) {
  over_ = true;
  pace_.stop();
  counters_.requestsEnded(result).add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_ended")
      .field("request", request_id_)
      .field("service", service_)
      .field("result", result)
      .field("reason", reason);
  ended_();
}

}  // namespace cypresswall::gateway
