/// HTTP headers written and read by the service request executor.
#pragma once

#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::execution {

/// \return the caller's headers plus the request identifier and, if the request is not repeatable,
///   the idempotency key: the caller's key or, without one, the request identifier
std::vector<services::HttpHeader> headersForBackend(const ServiceCallRequest& request,
                                                    bool repeatable);

/// \return the back end's Retry-After, but at least `minimum`
common::Duration retryAfterOf(const services::ServiceResponse& response, common::Duration minimum);

}  // namespace cypresswall::execution
