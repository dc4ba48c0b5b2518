/// Encoding of answers that are recorded under an idempotency key, so that a caller that repeats
/// the request receives the recorded answer.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cypresswall/execution/service_executor.h"

namespace cypresswall::execution {

/// \return the encoded answer, or an empty string if it is longer than `maximum_bytes`
std::string encodeRecordedAnswer(const ServiceCallAnswer& answer, std::size_t maximum_bytes);

/// \return the answer; empty if `recorded` is empty or cannot be decoded
std::optional<ServiceCallAnswer> decodeRecordedAnswer(const std::string& recorded);

}  // namespace cypresswall::execution
