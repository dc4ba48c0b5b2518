#include "standins/fronts/service_front.h"

#include <utility>

namespace cypresswall::standins {

using nlohmann::json;

void ServiceFront::handle(const http::Request& request, const ResponderPointer& responder) {
  respondingToErrors(responder, [&] { route(request, responder); });
}

void ServiceFront::route(const http::Request& request, const ResponderPointer& responder) {
  const std::string requested = request.method + " " + request.path;
  if (requested == "GET /admin/ledger") {
    respondJson(*responder, 200, encodeLedger());
  } else if (requested == "POST /admin/faults") {
    setFaults(request, responder);
  } else if (request.path.starts_with("/admin/")) {
    respondError(*responder, 404, "no such call");
  } else {
    call(request, responder);
  }
}

void ServiceFront::call(const http::Request& request, const ResponderPointer& responder) {
  const std::string meant_for = request.header("X-Cypresswall-Server");
  if (!machine_.empty() && !meant_for.empty() && meant_for != machine_) {
    respondError(*responder, 421, "the request is meant for another server");
    return;
  }
  const emulation::EmulatedServiceCall call{request.header("X-Request-Id"),
                                            request.header("Idempotency-Key"), request.method,
                                            request.target, request.body};
  service_.handle(call, [responder, request_id = call.request_id](
                            const emulation::EmulatedServiceAnswer& answer) {
    std::vector<http::Header> headers = rateLimitHeaders(answer.rate_limit);
    headers.push_back({"X-Request-Id", request_id});
    for (http::Header& header : announcementHeaders(answer.leaving, answer.pause)) {
      headers.push_back(std::move(header));
    }
    headers.push_back({"Content-Type", "application/json"});
    switch (answer.end) {
      case emulation::EmulatedServiceOutcome::kAnswered:
        responder->respond(answer.status, headers, answer.body);
        return;
      case emulation::EmulatedServiceOutcome::kRefused:
        headers.push_back({"X-Cypresswall-Outcome", "not-run"});
        responder->respond(answer.status, headers, answer.body);
        return;
      case emulation::EmulatedServiceOutcome::kBroken:
        responder->abort();
        return;
    }
  });
}

void ServiceFront::setFaults(const http::Request& request, const ResponderPointer& responder) {
  const json body = parseObject(request.body);
  emulation::ServiceFaults faults = service_.faults();
  faults.refuse_next = fieldOr(body, "refuse_next", faults.refuse_next);
  faults.break_before_run = fieldOr(body, "break_before_run", faults.break_before_run);
  faults.break_after_run = fieldOr(body, "break_after_run", faults.break_after_run);
  faults.delay = millisecondsOr(body, "delay_ms", faults.delay);
  faults.rate_limit = rateLimitOr(body, faults.rate_limit);
  faults.leaving = fieldOr(body, "leaving", faults.leaving);
  faults.pause = pauseOr(body, faults.pause);
  service_.setFaults(faults);
  machine_ = fieldOr(body, "machine", machine_);
  responder->respond(204, {}, "");
}

json ServiceFront::encodeLedger() const {
  json executions = json::array();
  for (const emulation::ServiceExecutionEntry& entry : service_.executions()) {
    executions.push_back({{"request_id", entry.request_id},
                          {"key", entry.key},
                          {"method", entry.method},
                          {"path", entry.path},
                          {"count", entry.count}});
  }
  return {{"executions", std::move(executions)}};
}

}  // namespace cypresswall::standins
