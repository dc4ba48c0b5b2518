/// HTTP headers that the executor of service requests writes and reads.
#pragma once

#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::execution {

/// \return the caller's headers with the request's identifier and, if it may not be repeated, its
///   idempotency key: the caller's, or the request's identifier if the caller gave none
std::vector<services::HttpHeader> headersForBackend(const ServiceCallRequest& request,
                                                    bool repeatable);

/// \return the back end's Retry-After in seconds, at least `otherwise`
common::Duration retryAfterOf(const services::ServiceResponse& response,
                              common::Duration otherwise);

}  // namespace cypresswall::execution
