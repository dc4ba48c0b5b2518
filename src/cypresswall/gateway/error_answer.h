/// Errors as callers get them: HTTP status, the OpenAI API's error object, outcome and Retry-After.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/execution/outcome.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Header that names the request, for logs and questions.
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
/// Header that says whether the request ran: "done", "not-run" or "unknown".
inline constexpr const char* kOutcomeHeader = "X-Cypresswall-Outcome";
inline constexpr const char* kRetryAfterHeader = "Retry-After";

/// One error answer.
struct ErrorAnswer {
  int status = 500;
  std::string message;
  /// Kind of error as in the OpenAI API, for example "invalid_request_error".
  std::string type;
  /// Name of the request's field at fault; empty stands for null.
  std::string param;
  std::string code;
  execution::Outcome outcome = execution::Outcome::kNotRun;
  /// Whole seconds; zero leaves the header out.
  long retry_after_seconds = 0;
};

/// A request that is refused before anything ran.
class RequestError : public common::Error {
 public:
  explicit RequestError(ErrorAnswer answer)
      : common::Error(answer.message), answer_(std::move(answer)) {}
  const ErrorAnswer& answer() const { return answer_; }

 private:
  ErrorAnswer answer_;
};

/// \return a 400 for the field `param` (empty: the body as a whole).
ErrorAnswer invalidRequestError(std::string message, std::string param, std::string code);
ErrorAnswer notFoundError(std::string message);
ErrorAnswer methodNotAllowedError(const std::string& method);
/// \return what a caller is told of an execution's error. A refusal for load always has a
///   Retry-After of at least one second.
ErrorAnswer errorAnswerOf(const execution::ExecutionError& error);

/// \return `delay` in whole seconds, rounded up, at least 1.
long retryAfterSeconds(common::Duration delay);

/// \return {"error": {...}} with message, type, param, code and outcome.
std::string errorBody(const ErrorAnswer& error);

/// Answers with `error`. \param request_id left out if empty
void respondWithError(http::Responder& responder, const ErrorAnswer& error,
                      const std::string& request_id);

}  // namespace cypresswall::gateway
