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

/// Forwards the caller's headers, except connection-specific ones, and adds X-Request-Id. Requests
/// other than GET and HEAD use new connections: if the service closed a reused connection at the
/// moment of sending, the outcome of the request would be unknown.
/// \pre `curl` outlives the client and its calls
class HttpServiceClient final : public ServiceClient {
 public:
  explicit HttpServiceClient(runtime::CurlMulti& curl, const HttpServiceSettings& settings = {});
  std::unique_ptr<ServiceCall> call(const common::ServerIdentity& server, ServiceRequest request,
                                    std::function<void(ServiceResponse)> callback) override;

 private:
  runtime::CurlMulti& curl_;
  HttpServiceSettings settings_;
};

}  // namespace cypresswall::services
