#include "cypresswall/surroundings/http_platform_adapter.h"

#include <utility>

#include "cypresswall/engines/http_engine_client.h"
#include "cypresswall/gateway/gateway.h"
#include "cypresswall/object_store/http_machine_list.h"
#include "cypresswall/object_store/http_object_store.h"
#include "cypresswall/services/http_service_client.h"
#include "cypresswall/surroundings/gateway_context.h"

namespace cypresswall::surroundings {
namespace {

class GatewayFrontend final : public Frontend {
 public:
  GatewayFrontend(gateway::GatewayContext context, const gateway::GatewaySettings& settings)
      : gateway_(std::move(context), settings) {}

  void mount(gateway::HttpRoutes& routes) override { gateway_.mount(routes); }
  std::vector<http::Header> rejectionHeaders() const override {
    return {{"X-Cypresswall-Outcome", "not-run"}};
  }
  void reportRejection(const http::Rejection& rejection) override {
    gateway_.reportRejection(rejection);
  }
  std::size_t openRequests() const override { return gateway_.openRequests(); }
  void cancelOpenRequests() override { gateway_.cancelOpenRequests(); }

 private:
  gateway::Gateway gateway_;
};

class HttpPlatformAdapter final : public PlatformAdapter {
 public:
  explicit HttpPlatformAdapter(const PlatformAdapterContext& context)
      : context_(context),
        object_store_(context.curl, context.process.counters, context.settings.object_store),
        machine_list_(context.curl, context.settings.machine_list),
        engines_(context.curl, context.process.counters, context.settings.engines),
        services_(context.curl, context.settings.services) {}

  node::NodeClients clients() override {
    node::NodeClients clients{object_store_, machine_list_, engines_, services_};
    clients.connections = &context_.connections;
    return clients;
  }
  std::unique_ptr<Frontend> makeFrontend(node::Node& node) override {
    return std::make_unique<GatewayFrontend>(gatewayContext(context_.process, node),
                                             context_.settings.gateway);
  }
  void start() override {}

 private:
  PlatformAdapterContext context_;
  object_store::HttpObjectStore object_store_;
  object_store::HttpMachineList machine_list_;
  engines::HttpEngineClient engines_;
  services::HttpServiceClient services_;
};

}  // namespace

std::unique_ptr<PlatformAdapter> makeHttpPlatformAdapter(const PlatformAdapterContext& context) {
  return std::make_unique<HttpPlatformAdapter>(context);
}

}  // namespace cypresswall::surroundings
