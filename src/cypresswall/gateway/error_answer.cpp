#include "cypresswall/gateway/error_answer.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace cypresswall::gateway {
namespace {

using execution::ErrorKind;

constexpr const char* kInvalidRequestType = "invalid_request_error";
constexpr const char* kServerErrorType = "server_error";

/// Maps one kind of execution error to the fields of an error answer.
struct ErrorMapping {
  int status;
  const char* type;
  const char* code;
  bool requires_retry_after;
};

ErrorMapping mappingOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUnknownService:
      return {404, kInvalidRequestType, "service_not_found", false};
    case ErrorKind::kUnknownModel:
      return {404, kInvalidRequestType, "model_not_found", false};
    case ErrorKind::kInvalidRequest:
      return {400, kInvalidRequestType, "invalid_request", false};
    case ErrorKind::kTenantLimit:
      return {429, "rate_limit_error", "rate_limit_exceeded", true};
    case ErrorKind::kOverloaded:
      return {503, kServerErrorType, "overloaded", true};
    case ErrorKind::kNoBackend:
    case ErrorKind::kPathLost:
      return {503, kServerErrorType, "no_backend", true};
    case ErrorKind::kDeadlineExceeded:
      return {504, kServerErrorType, "deadline_exceeded", false};
    case ErrorKind::kBackendFailed:
      return {502, kServerErrorType, "backend_failed", false};
    case ErrorKind::kInProgress:
      return {409, kInvalidRequestType, "idempotency_key_in_progress", false};
    case ErrorKind::kKeyReused:
      return {422, kInvalidRequestType, "idempotency_key_reused", false};
    case ErrorKind::kDraining:
      return {503, kServerErrorType, "draining", true};
    case ErrorKind::kQuarantined:
      return {503, kServerErrorType, "quarantined", true};
    case ErrorKind::kKeyRevoked:
      return {401, kInvalidRequestType, "invalid_api_key", false};
  }
  return {500, kServerErrorType, "internal_error", false};
}

}  // namespace

ErrorAnswer invalidRequestError(std::string message, std::string param, std::string code) {
  ErrorAnswer error;
  error.status = 400;
  error.message = std::move(message);
  error.type = kInvalidRequestType;
  error.param = std::move(param);
  error.code = std::move(code);
  return error;
}

ErrorAnswer notFoundError(std::string message) {
  auto error = invalidRequestError(std::move(message), "", "not_found");
  error.status = 404;
  return error;
}

ErrorAnswer methodNotAllowedError(const std::string& method) {
  auto error =
      invalidRequestError("method " + method + " is not allowed here", "", "method_not_allowed");
  error.status = 405;
  return error;
}

ErrorAnswer errorAnswerOf(const execution::ExecutionError& error) {
  const auto mapping = mappingOf(error.kind);
  ErrorAnswer answer;
  answer.status = mapping.status;
  answer.message = error.message;
  answer.type = mapping.type;
  answer.code = mapping.code;
  answer.outcome = error.outcome;
  if (mapping.requires_retry_after || error.retry_after > common::Duration::zero()) {
    answer.retry_after_seconds = retryAfterSeconds(error.retry_after);
  }
  return answer;
}

long retryAfterSeconds(common::Duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::max<long>(1, seconds);
}

std::string errorBody(const ErrorAnswer& error) {
  nlohmann::json content = {
      {"message", error.message},
      {"type", error.type},
      {"param", nullptr},
      {"code", error.code},
      {"outcome", execution::toString(error.outcome)},
  };
  if (!error.param.empty()) {
    content["param"] = error.param;
  }
  // The message may quote bytes from the caller that are not valid UTF-8.
  return nlohmann::json{{"error", std::move(content)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respondWithError(http::Responder& responder, const ErrorAnswer& error,
                      const std::string& request_id) {
  std::vector<http::Header> headers = {
      {"Content-Type", "application/json"},
      {kOutcomeHeader, execution::toString(error.outcome)},
  };
  if (!request_id.empty()) {
    headers.push_back({kRequestIdHeader, request_id});
  }
  if (error.retry_after_seconds > 0) {
    headers.push_back({kRetryAfterHeader, std::to_string(error.retry_after_seconds)});
  }
  responder.respond(error.status, headers, errorBody(error));
}

}  // namespace cypresswall::gateway
