#include "cypresswall/execution/service_headers.h"

#include <algorithm>

#include "cypresswall/common/header_names.h"
#include "cypresswall/common/server_announcement.h"

namespace cypresswall::execution {
namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kRetryAfterHeader = "Retry-After";

}  // namespace

std::vector<services::HttpHeader> headersForBackend(const ServiceCallRequest& request,
                                                    bool repeatable) {
  std::vector<services::HttpHeader> headers;
  for (const auto& header : request.headers) {
    if (!common::sameHeaderName(header.name, kRequestIdHeader) &&
        !common::sameHeaderName(header.name, kIdempotencyKeyHeader)) {
      headers.push_back(header);
    }
  }
  headers.push_back({kRequestIdHeader, request.request_id});
  if (!repeatable) {
    const auto& key =
        request.idempotency_key.empty() ? request.request_id : request.idempotency_key;
    headers.push_back({kIdempotencyKeyHeader, key});
  }
  return headers;
}

common::Duration retryAfterOf(const services::ServiceResponse& response, common::Duration minimum) {
  for (const auto& header : response.headers) {
    if (common::sameHeaderName(header.name, kRetryAfterHeader)) {
      return std::max(common::parseRetryAfter(header.value).value_or(minimum), minimum);
    }
  }
  return minimum;
}

}  // namespace cypresswall::execution
