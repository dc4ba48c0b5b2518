/// One request to a plain HTTP service: its execution on one side, its caller on the other.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cypresswall/execution/service_executor.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

class ServiceSession final : public Session {
 public:
  /// \param write_error answers a request that got no answer from the service
  ServiceSession(GatewayContext& context, GatewayCounters& counters,
                 execution::ServiceCallRequest request, std::shared_ptr<http::Responder> responder,
                 ErrorWriter write_error);

  void start(std::function<void()> ended) override;

 private:
  void answered(execution::ServiceCallAnswer answer);
  void callerGone();
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  GatewayCounters& counters_;
  execution::ServiceCallRequest request_;
  std::string request_id_;
  std::shared_ptr<http::Responder> responder_;
  ErrorWriter write_error_;
  std::function<void()> ended_;
  std::unique_ptr<execution::ServiceExecution> execution_;
  bool over_ = false;
};

/// Splits "/services/<name>/<rest>" into the service's name and the target that it gets.
struct ServiceTarget {
  common::ServiceName service;
  /// Begins with a slash, with the query.
  std::string target;
};

/// \throws RequestError if `request` names no service, or its path has "." or ".." segments, by
///   which another operation than the one declared could be reached
ServiceTarget serviceTargetOf(const http::Request& request);

}  // namespace cypresswall::gateway
