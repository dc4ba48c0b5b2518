/// Request outcomes reported to callers. "Not run" is reported only if it is certain that no back
/// end ran any part of the request.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

enum class Outcome : std::uint8_t {
  kDone,     ///< the complete answer was delivered
  kNotRun,   ///< no back end ran any part of the request
  kUnknown,  ///< the request may have run, completely or in part
};

/// \return "done", "not-run" or "unknown", as in the outcome header
const char* toString(Outcome outcome);

enum class ErrorKind : std::uint8_t {
  kUnknownService,
  kUnknownModel,
  kInvalidRequest,
  kTenantLimit,
  kOverloaded,
  kNoBackend,
  kDeadlineExceeded,
  kBackendFailed,
  kInProgress,  ///< an earlier request with the same idempotency key is still running
  kKeyReused,   ///< the idempotency key was already used for a different request
  kDraining,
  kQuarantined,  ///< the request is refused because back ends crashed on it
  kPathLost,     ///< this node can't reach any engine or back end, and nothing was sent
  kKeyRevoked,   ///< the caller's API key was revoked while the request was waiting
};

/// The final answer to a failed request.
struct ExecutionError {
  ErrorKind kind = ErrorKind::kBackendFailed;
  Outcome outcome = Outcome::kUnknown;
  std::string message;
  /// Time after which the caller may try again; always positive if the request was refused because
  /// of overload, zero if none is suggested.
  common::Duration retry_after{0};
};

}  // namespace cypresswall::execution
