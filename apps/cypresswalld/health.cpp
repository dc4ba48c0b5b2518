#include "apps/cypresswalld/health.h"

#include <memory>

#include "cypresswall/runtime/metrics_text.h"

namespace cypresswall::daemon {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

using ResponderPointer = std::shared_ptr<http::Responder>;

void respondText(http::Responder& responder, int status, std::string text) {
  responder.respond(status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text));
}

void respondReadiness(http::Responder& responder, const node::Node& node) {
  if (node.ready()) {
    respondText(responder, kStatusOk, "ready\n");
    return;
  }
  const char* const reason = node.draining() ? "draining\n" : "no configuration held yet\n";
  respondText(responder, kStatusUnavailable, reason);
}

void respondMetrics(http::Responder& responder, common::CounterRegistry& counters) {
  runtime::updateProcessMetrics(counters);
  responder.respond(kStatusOk, {{"Content-Type", runtime::kMetricsContentType}},
                    runtime::metricsText(counters));
}

}  // namespace

void mountHealth(gateway::HttpRoutes& routes, const node::Node& node,
                 common::CounterRegistry& counters) {
  routes.add("/healthz", [](const http::Request&, const ResponderPointer& responder) {
    respondText(*responder, kStatusOk, "ok\n");
  });
  routes.add("/readyz", [&node](const http::Request&, const ResponderPointer& responder) {
    respondReadiness(*responder, node);
  });
  routes.add("/metrics", [&counters](const http::Request&, const ResponderPointer& responder) {
    respondMetrics(*responder, counters);
  });
}

}  // namespace cypresswall::daemon
