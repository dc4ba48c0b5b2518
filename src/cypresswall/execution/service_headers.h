/// HTTP headers that the service executor adds to requests and reads from responses.
#pragma once

#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::execution {

/// \return the headers to send: the caller's headers plus the request identifier. A request that is
///   not repeatable also gets an idempotency key: the caller's key or, if the caller gave none, the
///   request identifier.
std::vector<services::HttpHeader> headersForBackend(const ServiceCallRequest& request,
                                                    bool repeatable);

/// \return the time in the back end's Retry-After header, but at least `minimum`
common::Duration retryAfterOf(const services::ServiceResponse& response, common::Duration minimum);

}  // namespace cypresswall::execution
