#include "cypresswall/forwarding/encoding.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace cypresswall::forwarding {
namespace {

using execution::ErrorKind;
using execution::ExecutionError;
using execution::Outcome;

constexpr std::int32_t kNoUrgency = -1;

/// \return zero only if there is no limit
std::uint32_t timeLimitMilliseconds(common::Duration left) {
  return left > common::Duration{0} ? std::max(common::millisecondsOf(left), 1U) : 0;
}

std::int32_t encodeUrgency(const std::optional<configuration::Urgency>& urgency) {
  return urgency ? static_cast<std::int32_t>(*urgency) : kNoUrgency;
}

std::optional<configuration::Urgency> decodeUrgency(std::int32_t urgency) {
  constexpr auto kMost = static_cast<std::int32_t>(configuration::Urgency::kCritical);
  if (urgency < 0 || urgency > kMost) {
    return std::nullopt;
  }
  return static_cast<configuration::Urgency>(urgency);
}

Outcome decodeOutcome(std::uint8_t outcome) {
  const bool known = outcome <= static_cast<std::uint8_t>(Outcome::kUnknown);
  return known ? static_cast<Outcome>(outcome) : Outcome::kUnknown;
}

/// Copies the fields that calls of both kinds have in common.
template <typename Call>
ForwardedRequest encodeCommon(const Call& call, common::Duration time_left) {
  ForwardedRequest request;
  request.request_id = call.request_id;
  request.fingerprint = call.fingerprint;
  request.tenant = call.tenant;
  request.quota_tokens = call.quota_tokens;
  request.urgency = encodeUrgency(call.urgency);
  request.service = call.service;
  request.time_limit_milliseconds = timeLimitMilliseconds(time_left);
  return request;
}

template <typename Call>
void decodeCommon(const ForwardedRequest& request, Call& call) {
  call.request_id = request.request_id;
  call.fingerprint = request.fingerprint;
  call.tenant = request.tenant;
  call.quota_tokens = request.quota_tokens;
  call.urgency = decodeUrgency(request.urgency);
  call.service = request.service;
  call.time_limit = std::chrono::milliseconds(request.time_limit_milliseconds);
}

}  // namespace

std::vector<ForwardedHeader> encodeHeaders(const std::vector<common::HeaderField>& headers) {
  std::vector<ForwardedHeader> encoded;
  encoded.reserve(headers.size());
  for (const auto& header : headers) {
    encoded.push_back({header.name, header.value});
  }
  return encoded;
}

std::vector<common::HeaderField> decodeHeaders(const std::vector<ForwardedHeader>& headers) {
  std::vector<common::HeaderField> decoded;
  decoded.reserve(headers.size());
  for (const auto& header : headers) {
    decoded.push_back({header.name, header.value});
  }
  return decoded;
}

ForwardedModelCall encodeModelCall(const execution::ModelCall& call, common::Duration time_left) {
  ForwardedModelCall message;
  message.request = encodeCommon(call, time_left);
  message.prompt = call.prompt;
  message.maximum_tokens = call.maximum_tokens;
  message.shape = {call.shape.tokens, call.shape.pieces, call.shape.piece_ends,
                   call.shape.content_hash};
  if (call.continues) {
    message.continues = true;
    message.began_as = call.continues->began_as;
    message.position = call.continues->position;
  }
  if (call.pass_through) {
    message.passes_through = true;
    message.request.method = call.pass_through->method;
    message.request.target = call.pass_through->target;
    message.request.headers = encodeHeaders(call.pass_through->headers);
    message.request.body = call.pass_through->body;
  }
  return message;
}

execution::ModelCall decodeModelCall(const ForwardedModelCall& message) {
  execution::ModelCall call;
  decodeCommon(message.request, call);
  call.prompt = message.prompt;
  call.maximum_tokens = message.maximum_tokens;
  call.shape.tokens = message.shape.tokens;
  call.shape.pieces = message.shape.pieces;
  call.shape.piece_ends = message.shape.piece_ends;
  call.shape.content_hash = message.shape.content_hash;
  if (message.continues) {
    call.continues = execution::AnswerContinuation{message.began_as, message.position};
  }
  if (message.passes_through) {
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{message.request.method, message.request.target,
                                    decodeHeaders(message.request.headers), message.request.body});
  }
  return call;
}

ForwardedServiceCall encodeServiceCall(const execution::ServiceCallRequest& call,
                                       common::Duration time_left) {
  ForwardedServiceCall message;
  message.request = encodeCommon(call, time_left);
  message.request.method = call.method;
  message.request.target = call.target;
  message.request.headers = encodeHeaders(call.headers);
  message.request.body = call.body;
  message.idempotency_key = call.idempotency_key;
  return message;
}

execution::ServiceCallRequest decodeServiceCall(const ForwardedServiceCall& message) {
  execution::ServiceCallRequest call;
  decodeCommon(message.request, call);
  call.method = message.request.method;
  call.target = message.request.target;
  call.headers = decodeHeaders(message.request.headers);
  call.body = message.request.body;
  call.idempotency_key = message.idempotency_key;
  return call;
}

ForwardedServiceAnswer encodeServiceAnswer(std::uint64_t number,
                                           const execution::ServiceCallAnswer& answer) {
  ForwardedServiceAnswer message;
  message.number = number;
  message.outcome = static_cast<std::uint8_t>(answer.outcome);
  message.status = answer.status;
  message.headers = encodeHeaders(answer.headers);
  message.body = answer.body;
  message.error = encodeError(answer.error);
  return message;
}

execution::ServiceCallAnswer decodeServiceAnswer(const ForwardedServiceAnswer& message) {
  execution::ServiceCallAnswer answer;
  answer.outcome = decodeOutcome(message.outcome);
  answer.status = message.status;
  answer.headers = decodeHeaders(message.headers);
  answer.body = message.body;
  answer.error = decodeError(message.error);
  return answer;
}

ForwardedError encodeError(const ExecutionError& error) {
  return {static_cast<std::uint8_t>(error.kind), static_cast<std::uint8_t>(error.outcome),
          error.message, common::millisecondsOf(error.retry_after)};
}

ExecutionError decodeError(const ForwardedError& error) {
  ExecutionError decoded;
  const bool known = error.kind <= static_cast<std::uint8_t>(ErrorKind::kKeyRevoked);
  decoded.kind = known ? static_cast<ErrorKind>(error.kind) : ErrorKind::kBackendFailed;
  decoded.outcome = decodeOutcome(error.outcome);
  decoded.message = error.message;
  decoded.retry_after = std::chrono::milliseconds(error.retry_after_milliseconds);
  return decoded;
}

}  // namespace cypresswall::forwarding
