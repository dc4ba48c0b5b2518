#include "cypresswall/services/http_service_client.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "cypresswall/common/header_names.h"

namespace cypresswall::services {
namespace {

using runtime::CurlHeader;
using runtime::CurlOutcome;
using runtime::CurlRequest;
using runtime::CurlResponse;

constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServerError = 500;
constexpr const char* kOutcomeHeader = "X-Cypresswall-Outcome";
constexpr const char* kRateLimitHeader = "X-Cypresswall-Rate-Limit";
/// Machine of the back end that a request is meant for.
constexpr const char* kServerHeader = "X-Cypresswall-Server";
constexpr const char* kLeavingHeader = "X-Cypresswall-Leaving";
constexpr const char* kRetryAfterHeader = "Retry-After";
constexpr const char* kOutcomeNotRun = "not-run";
constexpr const char* kRequestIdHeader = "X-Request-Id";

/// Headers that apply to one connection only, headers that the HTTP client or server sets itself,
/// and the outcome header, which the gateway sets itself.
constexpr std::array<const char*, 14> kNotForwardedHeaders = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "Proxy-Connection",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Host",
                                                              "Content-Length",
                                                              "Expect",
                                                              kOutcomeHeader,
                                                              kServerHeader};

bool isForwarded(const std::string& name) {
  return std::none_of(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(),
                      [&](const char* own) { return common::sameHeaderName(name, own); });
}

bool hasLineBreak(const std::string& text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

std::vector<CurlHeader> requestHeaders(const common::ServerIdentity& server,
                                       const ServiceRequest& request) {
  std::vector<CurlHeader> headers = {{kRequestIdHeader, request.request_id}};
  if (!server.machine.empty()) {
    headers.push_back({kServerHeader, server.machine});
  }
  for (const HttpHeader& header : request.headers) {
    const bool own = common::sameHeaderName(header.name, kRequestIdHeader);
    if (!own && isForwarded(header.name) && !hasLineBreak(header.name + header.value)) {
      headers.push_back({header.name, header.value});
    }
  }
  return headers;
}

/// \return true if the service reports with the outcome header that it did not run the request.
bool reportsNotRun(const CurlResponse& response) {
  const bool refusing =
      response.status == kStatusTooManyRequests || response.status >= kStatusServerError;
  return refusing && response.header(kOutcomeHeader) == kOutcomeNotRun;
}

/// \return true if the back end names the request that it responds to, and it is this one.
bool belongsTo(const std::string& request_id, const std::vector<CurlHeader>& headers) {
  return std::any_of(headers.begin(), headers.end(), [&](const CurlHeader& header) {
    return common::sameHeaderName(header.name, kRequestIdHeader) && header.value == request_id;
  });
}

ServiceOutcome outcomeOf(const CurlResponse& response, const std::string& request_id) {
  switch (response.outcome) {
    case CurlOutcome::kNotSent:
      return ServiceOutcome::kNotSent;
    case CurlOutcome::kBroken:
      return ServiceOutcome::kBroken;
    case CurlOutcome::kStale:
      return ServiceOutcome::kStale;
    case CurlOutcome::kAnswered:
      break;
  }
  if (response.reused_connection && !belongsTo(request_id, response.headers)) {
    return ServiceOutcome::kStale;
  }
  if (response.status == kStatusMisdirected) {
    return ServiceOutcome::kMisdirected;
  }
  return reportsNotRun(response) ? ServiceOutcome::kRefused : ServiceOutcome::kAnswered;
}

ServiceResponse serviceResponseOf(CurlResponse response, const std::string& request_id) {
  ServiceResponse result;
  result.outcome = outcomeOf(response, request_id);
  result.status = response.status;
  result.error = std::move(response.error);
  result.extent = std::move(response.extent);
  if (response.outcome != CurlOutcome::kAnswered || result.outcome == ServiceOutcome::kStale ||
      result.outcome == ServiceOutcome::kMisdirected) {
    return result;
  }
  result.rate_limit = common::parseRateLimit(response.header(kRateLimitHeader));
  result.body = std::move(response.body);
  for (CurlHeader& header : response.headers) {
    if (isForwarded(header.name)) {
      result.headers.push_back({std::move(header.name), std::move(header.value)});
    }
  }
  return result;
}

class HttpServiceCall final : public ServiceCall {
 public:
  explicit HttpServiceCall(std::unique_ptr<runtime::CurlTransfer> transfer)
      : transfer_(std::move(transfer)) {}

 private:
  std::unique_ptr<runtime::CurlTransfer> transfer_;
};

}  // namespace

HttpServiceClient::HttpServiceClient(runtime::CurlMulti& curl, const HttpServiceSettings& settings)
    : curl_(curl), settings_(settings) {}

std::unique_ptr<ServiceCall> HttpServiceClient::call(
    const common::ServerIdentity& server, ServiceRequest request,
    std::function<void(ServiceResponse)> callback) {
  CurlRequest sent;
  sent.method = request.method;
  sent.address = server.address;
  sent.target = request.target;
  sent.headers = requestHeaders(server, request);
  sent.body = std::move(request.body);
  const bool only_reads = sent.method == "GET" || sent.method == "HEAD";
  sent.connection_use = only_reads && request.may_reuse_connection ? runtime::ConnectionUse::kReuse
                                                                   : runtime::ConnectionUse::kFresh;
  // A connection is kept only for back ends that name the request they respond to.
  sent.belongs_to_request = [id = request.request_id](const std::vector<CurlHeader>& headers) {
    return belongsTo(id, headers);
  };
  sent.on_connection = connectionReporter(server.address);
  sent.connect_time_limit = settings_.connect_time_limit;
  sent.total_time_limit = request.time_limit;
  sent.maximum_body_bytes = settings_.maximum_answer_bytes;
  return std::make_unique<HttpServiceCall>(
      curl_.startFetch(std::move(sent), [this, id = request.request_id, server,
                                         callback = std::move(callback)](CurlResponse response) {
        const auto announcement = common::announcementOf(
            response.status, response.header(kLeavingHeader), response.header(kRetryAfterHeader));
        ServiceResponse answer = serviceResponseOf(std::move(response), id);
        if (answer.outcome == ServiceOutcome::kMisdirected) {
          announceReplaced(server);
        } else if (answer.outcome != ServiceOutcome::kStale) {
          announce(server, announcement);
        }
        callback(std::move(answer));
      }));
}

}  // namespace cypresswall::services
