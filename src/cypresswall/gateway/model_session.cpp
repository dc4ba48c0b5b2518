#include "cypresswall/gateway/model_session.h"

#include <utility>

#include "cypresswall/gateway/error_answer.h"

namespace cypresswall::gateway {

ModelSession::ModelSession(GatewayContext& context, const GatewaySettings& settings,
                           GatewayCounters& counters, CompletionRequest request,
                           common::TenantName tenant, std::string request_id,
                           std::shared_ptr<http::Responder> responder)
    : context_(context),
      settings_(settings),
      counters_(counters),
      request_(std::move(request)),
      tenant_(std::move(tenant)),
      identity_{request_.kind, std::move(request_id), request_.model, context.unix_time()},
      responder_(std::move(responder)),
      flow_control_(context, settings, counters, *responder_, [this] { onCallerStalled(); }) {}

void ModelSession::start(std::function<void()> ended) {
  on_ended_ = std::move(ended);
  responder_->onClosed([this] { onCallerDisconnected(); });
  execution::ModelCall call;
  call.request_id = identity_.request_id;
  call.tenant = tenant_;
  call.service = request_.model;
  call.fingerprint = common::fingerprintOf(tenant_, "", request_.model, request_.prompt);
  call.prompt = std::move(request_.prompt);
  call.maximum_tokens = request_.maximum_tokens;
  execution_ = context_.models.start(std::move(call), *this);
}

void ModelSession::onToken(std::uint32_t /*index*/, const std::string& text) {
  if (finished_) {
    return;
  }
  ++tokens_;
  counters_.tokens.add();
  if (request_.stream) {
    streamToken(text);
  } else {
    collectToken(text);
  }
}

void ModelSession::streamToken(const std::string& text) {
  if (!formatter_) {
    openStream();
  }
  event_.clear();
  formatter_->appendToken(event_, text);
  responder_->write(event_);
  flow_control_.onWritten(*execution_);
}

void ModelSession::collectToken(const std::string& text) {
  text_ += text;
  if (text_.size() > settings_.maximum_answer_bytes) {
    execution_.reset();
    onError({execution::ErrorKind::kBackendFailed, execution::Outcome::kUnknown,
             "the answer is too long to be given whole", common::Duration::zero()});
  }
}

void ModelSession::openStream() {
  formatter_.emplace(identity_);
  responder_->onDrained([this] {
    if (!finished_) {
      flow_control_.onDrained(*execution_);
    }
  });
  responder_->startStream(200, {{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-cache"},
                                {kRequestIdHeader, identity_.request_id}});
  responder_->write(formatter_->firstEvent());
}

void ModelSession::onFinished(const engines::StreamUsage& usage) {
  if (finished_) {
    return;
  }
  if (request_.stream) {
    if (!formatter_) {
      openStream();
    }
    responder_->write(formatter_->finalEvents(usage, request_.include_usage));
    responder_->finishStream();
  } else {
    responder_->respond(200,
                        {{"Content-Type", "application/json"},
                         {kRequestIdHeader, identity_.request_id},
                         {kOutcomeHeader, execution::toString(execution::Outcome::kDone)}},
                        completeAnswer(identity_, text_, usage));
  }
  end(execution::toString(execution::Outcome::kDone), usage.finish_reason);
}

void ModelSession::onError(const execution::ExecutionError& error) {
  if (finished_) {
    return;
  }
  const auto answer = errorAnswerOf(error);
  if (formatter_) {
    responder_->write("data: " + errorBody(answer) + "\n\n");
    responder_->finishStream();
  } else {
    respondWithError(*responder_, answer, identity_.request_id);
  }
  end(execution::toString(error.outcome), answer.code + ": " + error.message);
}

void ModelSession::cancel(const execution::ExecutionError& error) {
  execution_.reset();
  onError(error);
}

void ModelSession::onCallerDisconnected() {
  if (finished_) {
    return;
  }
  execution_.reset();
  end("caller-gone", "the connection ended");
}

void ModelSession::onCallerStalled() {
  if (finished_) {
    return;
  }
  execution_.reset();
  responder_->abort();
  end("caller-gone", "the caller read nothing for too long");
}

void ModelSession::logEnd(const char* result, const std::string& reason) {
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_ended")
      .field("request", identity_.request_id)
      .field("tenant", tenant_)
      .field("service", identity_.model)
      .field("result", result)
      .field("reason", reason)
      .field("streamed", request_.stream)
      .field("output_tokens", tokens_);
}

void ModelSession::end(const char* result, const std::string& reason) {
  finished_ = true;
  flow_control_.stop();
  counters_.requestsEnded(result).add();
  logEnd(result, reason);
  on_ended_();
}

}  // namespace cypresswall::gateway
