/// HTTP front end for callers: starts an execution for each request and returns its answer, using
/// the OpenAI API for models and plain HTTP for services.
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

/// Must outlive the HTTP server that calls it, and must be destroyed before the executors in its
/// GatewayContext.
class Gateway {
 public:
  Gateway(GatewayContext context, GatewaySettings settings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Registers the gateway as the handler of all paths of `routes` that have no other handler.
  void mount(HttpRoutes& routes);
  /// Handles one request from a caller.
  void handle(http::Request request, const std::shared_ptr<http::Responder>& responder);
  /// Handles a model request whose answer is passed through unchanged from the engine.
  void passModelCall(execution::ModelCall call, const std::shared_ptr<http::Responder>& responder,
                     ErrorWriter write_error);
  /// Handles a request to a plain HTTP service; `write_error` formats errors in the caller's
  /// protocol.
  void passServiceCall(execution::ServiceCallRequest request,
                       const std::shared_ptr<http::Responder>& responder, ErrorWriter write_error);
  /// \return the holder of an API key in the current configuration, null if no tenant has the key.
  ///   The pointer is valid until the gateway handles the next request or this function is called
  ///   again.
  const KeyHolder* holderOf(const std::string& key);
  /// Logs and counts a request that the HTTP server itself rejected.
  void reportRejection(const http::Rejection& rejection);

  /// Ends all requests in progress, whose outcome is then unknown to their callers. Called at the
  /// end of a planned stop: a caller must not take a closed connection for a request that was not
  /// sent.
  void cancelOpenRequests();

  /// \return the number of requests in progress.
  std::size_t openRequests() const { return sessions_.size(); }

 private:
  void route(http::Request& request, const std::shared_ptr<http::Responder>& responder,
             const std::string& request_id);
  void startCompletion(CompletionKind kind, const http::Request& request,
                       const std::shared_ptr<http::Responder>& responder,
                       const std::string& request_id);
  void startService(http::Request& request, const std::shared_ptr<http::Responder>& responder,
                    const std::string& request_id);
  void respondWithModels(const http::Request& request, http::Responder& responder,
                         const std::string& request_id) const;
  void refuse(const ErrorAnswer& error, const http::Request& request, http::Responder& responder,
              const std::string& request_id);
  /// Starts a session and owns it until it reports that it ended.
  void addSession(std::unique_ptr<Session> session);
  void onSessionEnded(SessionId id);
  std::string makeRequestId();

  GatewayContext context_;
  GatewaySettings settings_;
  GatewayCounters counters_;
  TenantIndex tenants_;
  SessionId last_session_ = 0;
  std::unordered_map<SessionId, std::unique_ptr<Session>> sessions_;
  /// Ended sessions, destroyed in the next iteration of the event loop since their executions may
  /// still be on the call stack.
  std::vector<std::unique_ptr<Session>> ended_sessions_;
  common::TimerId cleanup_timer_ = 0;
};

}  // namespace cypresswall::gateway
