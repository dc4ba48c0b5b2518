/// Runs plain HTTP service requests: repeatable ones with retries, others at most once.
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

/// One service request of a caller.
struct ServiceCallRequest {
  std::string request_id;
  /// By what the request is known again when its caller sends it anew; zero if not worked out.
  common::RequestFingerprint fingerprint = 0;
  common::TenantName tenant;
  /// The tenant's own urgency, which goes before the service's.
  std::optional<configuration::Urgency> urgency;
  /// Asked before each attempt: false once the caller's key has been taken away. Empty: always.
  std::function<bool()> still_allowed;
  common::ServiceName service;
  std::string method;
  /// Path below /services/<name>, with query, beginning with a slash.
  std::string target;
  std::vector<services::HttpHeader> headers;
  std::string body;
  /// Empty if the caller gave none.
  std::string idempotency_key;
  /// How long the caller waits; zero leaves it to the operation's time limit.
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

/// Holds a running service request; destroying it means that the caller went away.
class ServiceExecution {
 public:
  virtual ~ServiceExecution() = default;
};

class ServiceExecutor {
 public:
  virtual ~ServiceExecutor() = default;
  /// \param callback called exactly once, never before the call returns, unless the returned
  ///   object is destroyed first
  virtual std::unique_ptr<ServiceExecution> start(ServiceCallRequest request,
                                                  ServiceCallCallback callback) = 0;
};

}  // namespace cypresswall::execution
