/// One request to a plain HTTP service: connects the service execution to the caller.
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
  /// \param write_error answers a request for which the service gave no answer
  ServiceSession(GatewayContext& context, GatewayCounters& counters,
                 execution::ServiceCallRequest request, std::shared_ptr<http::Responder> responder,
                 ErrorWriter write_error);

  void start(std::function<void()> ended) override;
  void cancel(const execution::ExecutionError& error) override;

 private:
  void onAnswer(execution::ServiceCallAnswer answer);
  void onCallerDisconnected();
  void end(const char* result, const std::string& reason);

  GatewayContext& context_;
  GatewayCounters& counters_;
  execution::ServiceCallRequest request_;
  std::string request_id_;
  std::shared_ptr<http::Responder> responder_;
  ErrorWriter write_error_;
  std::function<void()> on_ended_;
  std::unique_ptr<execution::ServiceExecution> execution_;
  bool finished_ = false;
  /// Size of the back end's answer that was passed on.
  std::size_t body_bytes_ = 0;
};

/// The parts of a request target "/services/<name>/<rest>".
struct ServiceTarget {
  common::ServiceName service;
  /// Target of the request to the service: path, starting with a slash, and query.
  std::string target;
};

/// \throws RequestError if `request` names no service, or if its path contains "." or ".."
///   segments, with which the service might run another operation than the one that the
///   configuration declares for the path
ServiceTarget serviceTargetOf(const http::Request& request);

}  // namespace cypresswall::gateway
