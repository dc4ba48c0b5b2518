/// Error answers to callers: HTTP status, the OpenAI API's error object, outcome and Retry-After.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/execution/outcome.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Header with the request identifier, for correlation with logs.
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
/// Header that tells whether the request was executed: "done", "not-run" or "unknown".
inline constexpr const char* kOutcomeHeader = "X-Cypresswall-Outcome";
inline constexpr const char* kRetryAfterHeader = "Retry-After";

struct ErrorAnswer {
  int status = 500;
  std::string message;
  /// Error type of the OpenAI API, for example "invalid_request_error".
  std::string type;
  /// Name of the invalid request field; written as null if empty.
  std::string param;
  std::string code;
  execution::Outcome outcome = execution::Outcome::kNotRun;
  /// Value of the Retry-After header; zero omits the header.
  long retry_after_seconds = 0;
};

/// A request that is rejected before its execution starts.
class RequestError : public common::Error {
 public:
  explicit RequestError(ErrorAnswer answer)
      : common::Error(answer.message), answer_(std::move(answer)) {}
  const ErrorAnswer& answer() const { return answer_; }

 private:
  ErrorAnswer answer_;
};

/// \return a 400 for the field `param`, or for the body as a whole if `param` is empty.
ErrorAnswer invalidRequestError(std::string message, std::string param, std::string code);
ErrorAnswer notFoundError(std::string message);
ErrorAnswer methodNotAllowedError(const std::string& method);
/// \return the answer for an execution error. Overload errors and other temporary rejections always
///   have a Retry-After of at least one second.
ErrorAnswer errorAnswerOf(const execution::ExecutionError& error);

/// \return `delay` in seconds, rounded up, at least 1.
long retryAfterSeconds(common::Duration delay);

/// \return {"error": {...}} with message, type, param, code and outcome.
std::string errorBody(const ErrorAnswer& error);

/// Answers with `error`. \param request_id omitted from the answer if empty
void respondWithError(http::Responder& responder, const ErrorAnswer& error,
                      const std::string& request_id);

}  // namespace cypresswall::gateway
