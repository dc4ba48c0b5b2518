#include "apps/cypresswalld/health.h"

#include <memory>
#include <utility>

#include "cypresswall/runtime/metrics_text.h"

namespace cypresswall::daemon {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

using ResponderPointer = std::shared_ptr<http::Responder>;

void respondText(http::Responder& responder, int status, std::string text) {
  responder.respond(status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text));
}

void respondReadiness(http::Responder& responder, Readiness readiness) {
  if (readiness == Readiness::kReady) {
    respondText(responder, kStatusOk, "ready\n");
    return;
  }
  const bool draining = readiness == Readiness::kDraining;
  respondText(responder, kStatusUnavailable,
              draining ? "draining\n" : "no configuration held yet\n");
}

void respondMetrics(http::Responder& responder, common::CounterRegistry& counters) {
  runtime::updateProcessMetrics(counters);
  responder.respond(kStatusOk, {{"Content-Type", runtime::kMetricsContentType}},
                    runtime::metricsText(counters));
}

}  // namespace

void mountHealth(gateway::HttpRoutes& routes, std::function<Readiness()> readiness,
                 common::CounterRegistry& counters) {
  routes.add("/healthz", [](const http::Request&, const ResponderPointer& responder) {
    respondText(*responder, kStatusOk, "ok\n");
  });
  routes.add("/readyz", [readiness = std::move(readiness)](const http::Request&,
                                                           const ResponderPointer& responder) {
    respondReadiness(*responder, readiness());
  });
  routes.add("/metrics", [&counters](const http::Request&, const ResponderPointer& responder) {
    respondMetrics(*responder, counters);
  });
}

}  // namespace cypresswall::daemon
