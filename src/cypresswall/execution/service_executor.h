/// Interface for running plain HTTP service requests: repeatable ones with retries, others at most
/// once.
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
  /// Identifies the same request when the caller sends it again; zero if not computed.
  common::RequestFingerprint fingerprint = 0;
  common::TenantName tenant;
  /// The tenant's urgency; overrides that of the service.
  std::optional<configuration::Urgency> urgency;
  /// Called before each attempt; returns false once the caller's API key was revoked. If empty,
  /// attempts are always allowed.
  std::function<bool()> still_allowed;
  common::ServiceName service;
  std::string method;
  /// Path below /services/<name>, with query, beginning with a slash.
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
  /// Meaningful if `status` is zero.
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
  /// \param callback called exactly once and never synchronously, unless the returned object is
  ///   destroyed first
  virtual std::unique_ptr<ServiceExecution> start(ServiceCallRequest request,
                                                  ServiceCallCallback callback) = 0;
};

}  // namespace cypresswall::execution
