#include "cypresswall/gateway/session.h"

namespace cypresswall::gateway {

GatewayCounters::GatewayCounters(common::CounterRegistry& registry)
    : tokens(registry.counter("cypresswall_gateway_tokens_total",
                              "Output tokens taken from executions")),
      pauses(registry.counter("cypresswall_gateway_pauses_total",
                              "Streams paused because the caller reads slowly")),
      stalled_readers(registry.counter("cypresswall_gateway_stuck_readers_total",
                                       "Streams ended because the caller read nothing")),
      open_requests(registry.gauge("cypresswall_gateway_open_requests", "Requests under way")),
      registry_(registry) {}

common::Counter& GatewayCounters::requestsEnded(const std::string& result) {
  return registry_.counter("cypresswall_gateway_requests_total", "Requests that ran to an end",
                           "result", result);
}

common::Counter& GatewayCounters::refusals(int status) {
  return registry_.counter("cypresswall_gateway_refusals_total",
                           "Requests refused by the gateway before execution", "status",
                           std::to_string(status));
}

common::Counter& GatewayCounters::rejections(int status) {
  return registry_.counter("cypresswall_gateway_rejections_total",
                           "Requests that the HTTP server refused", "status",
                           std::to_string(status));
}

}  // namespace cypresswall::gateway
