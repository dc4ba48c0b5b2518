#include "cypresswall/simulation/simulated_services.h"

#include <algorithm>
#include <utility>

namespace cypresswall::simulation {
namespace {

constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kOutcomeHeader = "X-Cypresswall-Outcome";

/// Handle of a call in progress. Destroying the handle abandons the call, whose response is then
/// discarded.
class AbandonableCall final : public services::ServiceCall {
 public:
  using Callback = std::function<void(services::ServiceResponse)>;
  explicit AbandonableCall(Callback callback)
      : callback_(std::make_shared<Callback>(std::move(callback))) {}
  ~AbandonableCall() override { *callback_ = nullptr; }
  AbandonableCall(const AbandonableCall&) = delete;
  AbandonableCall& operator=(const AbandonableCall&) = delete;

  std::shared_ptr<Callback> callback() const { return callback_; }

 private:
  std::shared_ptr<Callback> callback_;
};

emulation::EmulatedServiceCall emulatedCall(const services::ServiceRequest& request) {
  emulation::EmulatedServiceCall call;
  call.request_id = request.request_id;
  call.method = request.method;
  call.path = request.target;
  call.body = request.body;
  for (const auto& header : request.headers) {
    if (header.name == kKeyHeader) {
      call.key = header.value;
    }
  }
  return call;
}

services::ServiceResponse responseOf(CallResult result,
                                     std::optional<emulation::EmulatedServiceAnswer> answer) {
  services::ServiceResponse response;
  if (result != CallResult::kAnswered) {
    response.outcome = result == CallResult::kNotSent ? services::ServiceOutcome::kNotSent
                                                      : services::ServiceOutcome::kBroken;
    response.error = "no answer";
    return response;
  }
  switch (answer->end) {
    case emulation::EmulatedServiceOutcome::kAnswered:
      response.outcome = services::ServiceOutcome::kAnswered;
      break;
    case emulation::EmulatedServiceOutcome::kRefused:
      response.outcome = services::ServiceOutcome::kRefused;
      response.headers.push_back({kOutcomeHeader, "not-run"});
      break;
    case emulation::EmulatedServiceOutcome::kBroken:
      response.outcome = services::ServiceOutcome::kBroken;
      response.error = "connection closed";
      return response;
  }
  response.rate_limit = common::namedRateLimit(answer->rate_limit);
  response.status = answer->status;
  response.body = std::move(answer->body);
  return response;
}

}  // namespace

emulation::EmulatedService& SimulatedServices::add(const common::Address& address,
                                                   const common::ZoneName& zone,
                                                   const std::string& name,
                                                   common::Duration answer_time) {
  zones_[address] = zone;
  auto& service = services_[address];
  service = std::make_unique<emulation::EmulatedService>(name, answer_time, simulation_.time());
  return *service;
}

emulation::EmulatedService* SimulatedServices::find(const common::Address& address) const {
  const auto found = services_.find(address);
  return found == services_.end() ? nullptr : found->second.get();
}

NetworkEndpoint SimulatedServices::endpointOf(const common::Address& address) const {
  const auto zone = zones_.find(address);
  return {address, zone == zones_.end() ? common::ZoneName{} : zone->second};
}

std::uint32_t SimulatedServices::executionsOfKey(const std::string& key) const {
  std::uint32_t count = 0;
  for (const auto& [address, service] : services_) {
    count += service->executionsOfKey(key);
  }
  return count;
}

std::uint32_t SimulatedServices::executionsOfRequest(const std::string& request_id) const {
  std::uint32_t count = 0;
  for (const auto& [address, service] : services_) {
    count += service->executionsOfRequest(request_id);
  }
  return count;
}

SimulatedServiceClient::SimulatedServiceClient(Simulation& simulation, SimulatedProcess& process,
                                               SimulatedServices& services)
    : simulation_(simulation), process_(process), services_(services) {}

std::unique_ptr<services::ServiceCall> SimulatedServiceClient::call(
    const common::ServerIdentity& server, services::ServiceRequest request,
    std::function<void(services::ServiceResponse)> callback) {
  using Answer = emulation::EmulatedServiceAnswer;
  auto call = std::make_unique<AbandonableCall>(std::move(callback));
  auto effect = [&services = services_, address = server.address, request,
                 sender = process_.id()](ExternalCall<Answer>::Reply reply) {
    emulation::EmulatedService* service = services.find(address);
    if (service == nullptr) {
      reply(std::nullopt);
      return;
    }
    services.arrived(address, sender);
    service->handle(emulatedCall(request),
                    [reply = std::move(reply)](Answer answer) { reply(std::move(answer)); });
  };
  auto done = [this, server, kept = call->callback()](CallResult result,
                                                      std::optional<Answer> answer) {
    if (result != CallResult::kUnknown) {
      connectionReporter(server.address)(result == CallResult::kAnswered);
    }
    if (result == CallResult::kAnswered && *kept) {
      announce(server, {answer->leaving, answer->pause});
    }
    // The callback may destroy the call, and with it the stored callback while that is running.
    // Therefore the callback is moved out before it is called.
    const auto run = std::exchange(*kept, nullptr);
    if (run) {
      run(responseOf(result, std::move(answer)));
    }
  };
  const ExternalPath path(simulation_, process_, services_.endpointOf(server.address));
  ExternalCall<Answer>::start(path, services_.faults, request.time_limit, std::move(effect),
                              std::move(done));
  return call;
}

}  // namespace cypresswall::simulation
