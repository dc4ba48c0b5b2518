/// Which headers pass between a caller and a plain HTTP service.
#pragma once

#include <vector>

#include "cypresswall/http/server.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::gateway {

/// \return the caller's headers that the service gets: none that belong to the connection, nor the
///   tenant's key, nor those that the system itself sets.
std::vector<services::HttpHeader> headersForService(const std::vector<http::Header>& headers);

/// \return the service's headers that the caller gets.
std::vector<http::Header> headersForCaller(const std::vector<services::HttpHeader>& headers);

}  // namespace cypresswall::gateway
