/// What a caller is told about its request. Exact by contract: "not run" only if it is proved.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

enum class Outcome : std::uint8_t {
  kDone,     ///< the whole answer was given
  kNotRun,   ///< no back end ran any part of it
  kUnknown,  ///< it may have run, wholly or in part
};

/// \return "done", "not-run" or "unknown", as in the outcome header.
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
  kInProgress,  ///< an earlier request with the same idempotency key still runs
  kKeyReused,   ///< the idempotency key was used for another request
  kDraining,
  kQuarantined,  ///< engines end under this request
  kKeyRevoked,   ///< the caller's key was taken away while the request waited
};

/// The final answer to a request that was not served.
struct ExecutionError {
  ErrorKind kind = ErrorKind::kBackendFailed;
  Outcome outcome = Outcome::kUnknown;
  std::string message;
  /// Positive on every refusal for load.
  common::Duration retry_after{0};
};

}  // namespace cypresswall::execution
