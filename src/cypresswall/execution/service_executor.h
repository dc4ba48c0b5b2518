/// Interface for running requests to plain HTTP services. Repeatable requests may be retried after
/// they ran; all others run at most once.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/execution/outcome.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::execution {

/// A caller's service request.
struct ServiceCallRequest {
  std::string request_id;
  /// Hash by which a request is recognised when a caller sends it again; zero if it was not
  /// computed.
  common::RequestFingerprint fingerprint = 0;
  common::TenantName tenant;
  /// Tokens by which the request counts towards the tenant's quota; zero if the caller named none.
  std::uint32_t quota_tokens = 0;
  /// Urgency set for the tenant, which overrides the urgency of the service; empty if none is set.
  std::optional<configuration::Urgency> urgency;
  /// Called before each attempt; returns false once the caller's API key has been revoked. If no
  /// function is set, attempts are always allowed.
  std::function<bool()> still_allowed;
  common::ServiceName service;
  std::string method;
  /// Path below /services/<name>, including the query; begins with a slash.
  std::string target;
  std::vector<services::HttpHeader> headers;
  std::string body;
  /// Empty if the caller gave none.
  std::string idempotency_key;
  /// Caller's time limit; zero means that only the operation's limit applies.
  common::Duration time_limit{0};
};

/// The final answer: the back end's response, or an error.
struct ServiceCallAnswer {
  Outcome outcome = Outcome::kUnknown;
  int status = 0;
  std::vector<services::HttpHeader> headers;
  std::string body;
  /// Valid only if `status` is zero, i.e. no response of a back end is returned.
  ExecutionError error;
};

using ServiceCallCallback = std::function<void(ServiceCallAnswer)>;

/// Handle of a running service request. Destroying it signals that the caller disconnected.
class ServiceExecution {
 public:
  virtual ~ServiceExecution() = default;
};

class ServiceExecutor {
 public:
  virtual ~ServiceExecutor() = default;
  /// \param callback called exactly once, but not after the returned object was destroyed; never
  ///   called synchronously
  virtual std::unique_ptr<ServiceExecution> start(ServiceCallRequest request,
                                                  ServiceCallCallback callback) = 0;
};

}  // namespace cypresswall::execution
