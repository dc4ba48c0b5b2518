#include "cypresswall/gateway/gateway.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

#include "cypresswall/gateway/header_filter.h"
#include "cypresswall/gateway/model_session.h"
#include "cypresswall/gateway/pass_through_session.h"
#include "cypresswall/gateway/service_session.h"

namespace cypresswall::gateway {
namespace {

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kTextPath = "/v1/completions";
constexpr const char* kModelsPath = "/v1/models";
constexpr const char* kServicesPath = "/services/";
constexpr const char* kModelOwner = "cypresswall";

void requireMethod(const http::Request& request, const char* method) {
  if (request.method != method) {
    throw RequestError(methodNotAllowedError(request.method));
  }
}

/// Rejects requests until the first configuration snapshot arrives, since models and services are
/// unknown until then.
void requireConfiguration(const configuration::FleetConfiguration& configuration) {
  if (configuration.version == 0) {
    ErrorAnswer error;
    error.status = 503;
    error.message = "this node holds no configuration yet";
    error.type = "server_error";
    error.code = "not_ready";
    error.retry_after_seconds = 1;
    throw RequestError(error);
  }
}

nlohmann::json modelObject(const std::string& name) {
  return {{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", kModelOwner}};
}

/// \return all valid values of the request field "model".
std::set<std::string> servedNames(const configuration::FleetConfiguration& configuration) {
  std::set<std::string> names;
  for (const auto& [name, service] : configuration.model_services) {
    names.insert(name);
  }
  for (const auto& [name, model] : configuration.models) {
    names.insert(name);
  }
  return names;
}

std::string modelList(const std::set<std::string>& names) {
  auto data = nlohmann::json::array();
  for (const auto& name : names) {
    data.push_back(modelObject(name));
  }
  return nlohmann::json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

}  // namespace

Gateway::Gateway(GatewayContext context, GatewaySettings settings)
    : context_(std::move(context)), settings_(settings), counters_(context_.counters) {}

Gateway::~Gateway() {
  if (cleanup_timer_ != 0) {
    context_.scheduler.cancel(cleanup_timer_);
  }
}

void Gateway::mount(HttpRoutes& routes) {
  const auto handler = [this](http::Request request,
                              const std::shared_ptr<http::Responder>& responder) {
    handle(std::move(request), responder);
  };
  routes.add("", handler);
}

const KeyHolder* Gateway::holderOf(const std::string& key) {
  return tenants_.holderOf(key, *context_.configuration.current());
}

void Gateway::handle(http::Request request, const std::shared_ptr<http::Responder>& responder) {
  const auto request_id = makeRequestId();
  try {
    requireConfiguration(*context_.configuration.current());
    route(request, responder, request_id);
  } catch (const RequestError& error) {
    refuse(error.answer(), request, *responder, request_id);
  }
}

void Gateway::route(http::Request& request, const std::shared_ptr<http::Responder>& responder,
                    const std::string& request_id) {
  if (request.path == kChatPath || request.path == kTextPath) {
    requireMethod(request, "POST");
    const auto kind = request.path == kChatPath ? CompletionKind::kChat : CompletionKind::kText;
    startCompletion(kind, request, responder, request_id);
  } else if (request.path == kModelsPath || request.path.starts_with("/v1/models/")) {
    requireMethod(request, "GET");
    respondWithModels(request, *responder, request_id);
  } else if (!request.path.starts_with(kServicesPath)) {
    throw RequestError(notFoundError("no resource at " + request.path));
  } else {
    startService(request, responder, request_id);
  }
}

void Gateway::startCompletion(CompletionKind kind, const http::Request& request,
                              const std::shared_ptr<http::Responder>& responder,
                              const std::string& request_id) {
  auto tenant = tenants_.tenantOf(request, *context_.configuration.current());
  auto completion = parseCompletionRequest(kind, request.body);
  addSession(std::make_unique<ModelSession>(context_, settings_, counters_, std::move(completion),
                                            std::move(tenant), request_id, responder));
}

void Gateway::startService(http::Request& request,
                           const std::shared_ptr<http::Responder>& responder,
                           const std::string& request_id) {
  auto target = serviceTargetOf(request);
  execution::ServiceCallRequest call;
  call.request_id = request_id;
  call.tenant = tenants_.tenantOf(request, *context_.configuration.current());
  call.service = std::move(target.service);
  call.method = request.method;
  call.target = std::move(target.target);
  call.headers = headersForService(request.headers);
  call.idempotency_key = request.header("Idempotency-Key");
  if (call.idempotency_key.size() > settings_.maximum_idempotency_key_bytes) {
    throw RequestError(
        invalidRequestError("Idempotency-Key is too long", "", "invalid_idempotency_key"));
  }
  call.fingerprint =
      common::fingerprintOf(call.tenant, call.method, call.service + call.target, request.body);
  call.body = std::move(request.body);
  const auto write_error = [](http::Responder& caller, const execution::ExecutionError& error,
                              const std::string& id) {
    respondWithError(caller, errorAnswerOf(error), id);
  };
  passServiceCall(std::move(call), responder, write_error);
}

void Gateway::passModelCall(execution::ModelCall call,
                            const std::shared_ptr<http::Responder>& responder,
                            ErrorWriter write_error) {
  addSession(std::make_unique<PassThroughSession>(context_, settings_, counters_, std::move(call),
                                                  responder, std::move(write_error)));
}

void Gateway::passServiceCall(execution::ServiceCallRequest request,
                              const std::shared_ptr<http::Responder>& responder,
                              ErrorWriter write_error) {
  addSession(std::make_unique<ServiceSession>(context_, counters_, std::move(request), responder,
                                              std::move(write_error)));
}

void Gateway::respondWithModels(const http::Request& request, http::Responder& responder,
                                const std::string& request_id) const {
  const auto names = servedNames(*context_.configuration.current());
  std::string body;
  if (request.path == kModelsPath) {
    body = modelList(names);
  } else {
    const auto name = request.path.substr(std::string_view(kModelsPath).size() + 1);
    if (!names.contains(name)) {
      throw RequestError(notFoundError("no model is named " + name));
    }
    body = modelObject(name).dump();
  }
  responder.respond(200,
                    {{"Content-Type", "application/json"},
                     {kRequestIdHeader, request_id},
                     {kOutcomeHeader, execution::toString(execution::Outcome::kDone)}},
                    std::move(body));
}

void Gateway::refuse(const ErrorAnswer& error, const http::Request& request,
                     http::Responder& responder, const std::string& request_id) {
  respondWithError(responder, error, request_id);
  counters_.refusals(error.status).add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_refused")
      .field("request", request_id)
      .field("remote", request.remote_address)
      .field("method", request.method)
      .field("path", request.path)
      .field("status", error.status)
      .field("code", error.code)
      .field("reason", error.message);
}

void Gateway::reportRejection(const http::Rejection& rejection) {
  counters_.rejections(rejection.status).add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "request_rejected")
      .field("remote", rejection.remote_address)
      .field("status", rejection.status)
      .field("reason", rejection.reason);
}

void Gateway::addSession(std::unique_ptr<Session> session) {
  const auto id = ++last_session_;
  Session& kept = *session;
  sessions_.emplace(id, std::move(session));
  counters_.open_requests.set(static_cast<double>(sessions_.size()));
  kept.start([this, id] { onSessionEnded(id); });
}

void Gateway::onSessionEnded(SessionId id) {
  const auto found = sessions_.find(id);
  ended_sessions_.push_back(std::move(found->second));
  sessions_.erase(found);
  counters_.open_requests.set(static_cast<double>(sessions_.size()));
  if (cleanup_timer_ == 0) {
    cleanup_timer_ = context_.scheduler.schedule(common::Duration::zero(), [this] {
      cleanup_timer_ = 0;
      ended_sessions_.clear();
    });
  }
}

void Gateway::cancelOpenRequests() {
  const execution::ExecutionError error{
      execution::ErrorKind::kBackendFailed, execution::Outcome::kUnknown,
      "this node stops before the answer is complete", common::Duration::zero()};
  std::vector<Session*> open;
  for (const auto& [id, session] : sessions_) {
    open.push_back(session.get());
  }
  // Ended sessions are destroyed only in the next iteration of the event loop.
  for (Session* session : open) {
    session->cancel(error);
  }
}

std::string Gateway::makeRequestId() {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id;
  for (const std::uint64_t half : {context_.random.next(), context_.random.next()}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      id += kDigits[(half >> shift) & 0xf];
    }
  }
  return id;
}

}  // namespace cypresswall::gateway
