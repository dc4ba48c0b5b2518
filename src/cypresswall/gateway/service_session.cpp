#include "cypresswall/gateway/service_session.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "cypresswall/gateway/error_answer.h"
#include "cypresswall/gateway/header_filter.h"

namespace cypresswall::gateway {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

bool hasHeader(const std::vector<http::Header>& headers, const std::string& name) {
  http::Request lookup;
  lookup.headers = headers;
  return !lookup.header(name).empty();
}

bool hasDotSegment(const std::string& path) {
  const std::string closed = path + "/";
  return closed.find("/./") != std::string::npos || closed.find("/../") != std::string::npos;
}

}  // namespace

ServiceTarget serviceTargetOf(const http::Request& request) {
  const std::string_view target = request.target;
  if (!target.starts_with(kServicesPrefix)) {
    throw RequestError(notFoundError("no service is named by " + request.path));
  }
  if (hasDotSegment(request.path)) {
    throw RequestError(
        invalidRequestError("the path must not have '.' or '..' segments", "", "invalid_path"));
  }
  const auto rest = target.substr(kServicesPrefix.size());
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  ServiceTarget result;
  result.service = rest.substr(0, end);
  result.target = rest.substr(end);
  if (result.service.empty()) {
    throw RequestError(notFoundError("no service is named by " + request.path));
  }
  if (!result.target.starts_with('/')) {
    result.target.insert(result.target.begin(), '/');
  }
  return result;
}

ServiceSession::ServiceSession(GatewayContext& context, GatewayCounters& counters,
                               execution::ServiceCallRequest request,
                               std::shared_ptr<http::Responder> responder, ErrorWriter write_error)
    : context_(context),
      counters_(counters),
      request_(std::move(request)),
      request_id_(request_.request_id),
      responder_(std::move(responder)),
      write_error_(std::move(write_error)) {}

void ServiceSession::start(std::function<void()> ended) {
  on_ended_ = std::move(ended);
  responder_->onClosed([this] { onCallerDisconnected(); });
  execution_ = context_.services.start(
      request_, [this](execution::ServiceCallAnswer answer) { onAnswer(std::move(answer)); });
  request_.body.clear();
  request_.body.shrink_to_fit();
}

void ServiceSession::onAnswer(execution::ServiceCallAnswer answer) {
  if (finished_) {
    return;
  }
  if (answer.status == 0) {
    write_error_(*responder_, answer.error, request_id_);
    end(execution::toString(answer.error.outcome),
        errorAnswerOf(answer.error).code + ": " + answer.error.message);
    return;
  }
  auto headers = headersForCaller(answer.headers);
  headers.push_back({kRequestIdHeader, request_id_});
  headers.push_back({kOutcomeHeader, execution::toString(answer.outcome)});
  const bool refused = answer.status == kTooManyRequests || answer.status == kServiceUnavailable;
  if (refused && !hasHeader(headers, kRetryAfterHeader)) {
    headers.push_back({kRetryAfterHeader, std::to_string(retryAfterSeconds({}))});
  }
  body_bytes_ = answer.body.size();
  responder_->respond(answer.status, headers, std::move(answer.body));
  end(execution::toString(answer.outcome), std::to_string(answer.status));
}

void ServiceSession::cancel(const execution::ExecutionError& error) {
  execution_.reset();
  execution::ServiceCallAnswer answer;
  answer.outcome = error.outcome;
  answer.error = error;
  onAnswer(std::move(answer));
}

void ServiceSession::onCallerDisconnected() {
  if (finished_) {
    return;
  }
  execution_.reset();
  end("caller-gone", "the connection ended");
}

void ServiceSession::end(const char* result, const std::string& reason) {
  finished_ = true;
  counters_.requestsEnded(result).add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_ended")
      .field("request", request_id_)
      .field("tenant", request_.tenant)
      .field("service", request_.service)
      .field("method", request_.method)
      .field("result", result)
      .field("reason", reason)
      .field("body_bytes", body_bytes_);
  on_ended_();
}

}  // namespace cypresswall::gateway
