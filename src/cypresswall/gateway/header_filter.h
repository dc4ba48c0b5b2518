/// Selects the headers that are forwarded between a caller and a plain HTTP service.
#pragma once

#include <vector>

#include "cypresswall/http/server.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::gateway {

/// \return the caller's headers to forward to the service, without connection-specific headers, the
///   tenant's API key and headers set by the system itself.
std::vector<services::HttpHeader> headersForService(const std::vector<http::Header>& headers);

/// \return the service's headers to forward to the caller.
std::vector<http::Header> headersForCaller(const std::vector<services::HttpHeader>& headers);

}  // namespace cypresswall::gateway
