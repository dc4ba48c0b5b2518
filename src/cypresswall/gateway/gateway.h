/// The callers' front: turns HTTP requests into executions and gives their answers back, in the
/// shapes of the OpenAI API for models and as plain HTTP for services.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/counters.h"
#include "cypresswall/common/event_log.h"
#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/gateway/completion_request.h"
#include "cypresswall/gateway/error_answer.h"
#include "cypresswall/gateway/http_routes.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/gateway/tenants.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

/// Must outlive the HTTP server that calls it, and must be destroyed before the executors.
class Gateway {
 public:
  Gateway(GatewayContext context, GatewaySettings settings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Takes all paths of `routes` that nobody else takes.
  void mount(HttpRoutes& routes);
  /// Takes one request of a caller.
  void handle(http::Request request, const std::shared_ptr<http::Responder>& responder);
  /// Takes a model request whose answer is given as the engine makes it.
  void passModelCall(execution::ModelCall call, const std::shared_ptr<http::Responder>& responder,
                     ErrorWriter write_error);
  /// Takes a request to a plain HTTP service whose errors are written in the caller's protocol.
  void passServiceCall(execution::ServiceCallRequest request,
                       const std::shared_ptr<http::Responder>& responder, ErrorWriter write_error);
  /// \return the holder of a caller's key by the configuration in force, null if no tenant has it;
  ///   valid until the next call
  const KeyHolder* holderOf(const std::string& key);
  /// Logs and counts a request that the HTTP server itself refused.
  void reportRejection(const http::Rejection& rejection);

  /// \return number of requests under way.
  std::size_t openRequests() const { return sessions_.size(); }

 private:
  void route(http::Request& request, const std::shared_ptr<http::Responder>& responder,
             const std::string& request_id);
  void startCompletion(CompletionKind kind, const http::Request& request,
                       const std::shared_ptr<http::Responder>& responder,
                       const std::string& request_id);
  void startService(http::Request& request, const std::shared_ptr<http::Responder>& responder,
                    const std::string& request_id);
  void answerModels(const http::Request& request, http::Responder& responder,
                    const std::string& request_id) const;
  void refuse(const ErrorAnswer& error, const http::Request& request, http::Responder& responder,
              const std::string& request_id);
  /// Starts a session and keeps it until it says that it ended.
  void keep(std::unique_ptr<Session> session);
  void sessionEnded(SessionId id);
  std::string makeRequestId();

  GatewayContext context_;
  GatewaySettings settings_;
  GatewayCounters counters_;
  TenantIndex tenants_;
  SessionId last_session_ = 0;
  std::unordered_map<SessionId, std::unique_ptr<Session>> sessions_;
  /// Ended sessions, destroyed on the next turn since their executions may still be on the stack.
  std::vector<std::unique_ptr<Session>> ended_;
  common::TimerId sweep_timer_ = 0;
};

}  // namespace cypresswall::gateway
