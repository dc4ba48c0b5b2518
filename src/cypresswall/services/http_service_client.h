/// Client of plain HTTP services (docs/protocols.md).
#pragma once

#include <chrono>

#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::services {

struct HttpServiceSettings {
  common::Duration connect_time_limit = std::chrono::seconds(1);
  std::size_t maximum_answer_bytes = 16U << 20;
};

/// Passes the caller's headers on, except those of the connection, and adds X-Request-Id. Requests
/// other than GET and HEAD go out on new connections, so that a reused connection which the service
/// closes at that moment doesn't leave their outcome unknown.
/// \pre `curl` outlives the client and its calls
class HttpServiceClient final : public ServiceClient {
 public:
  explicit HttpServiceClient(runtime::CurlMulti& curl, const HttpServiceSettings& settings = {});
  std::unique_ptr<ServiceCall> call(const common::Address& address, ServiceRequest request,
                                    std::function<void(ServiceResponse)> callback) override;

 private:
  runtime::CurlMulti& curl_;
  HttpServiceSettings settings_;
};

}  // namespace cypresswall::services
