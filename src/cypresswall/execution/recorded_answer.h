/// How the answer to an operation with an idempotency key is kept for callers that ask again.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cypresswall/execution/service_executor.h"

namespace cypresswall::execution {

/// \return the answer as bytes, or an empty string if they would be more than `maximum_bytes`
std::string encodeRecordedAnswer(const ServiceCallAnswer& answer, std::size_t maximum_bytes);

/// \return nothing if `recorded` is empty or can't be understood
std::optional<ServiceCallAnswer> decodeRecordedAnswer(const std::string& recorded);

}  // namespace cypresswall::execution
