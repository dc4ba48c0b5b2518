#include "cypresswall/execution/model_target.h"

#include <algorithm>

namespace cypresswall::execution {
namespace {

std::optional<configuration::ModelServiceDeclaration> findService(
    const configuration::FleetConfiguration& fleet, const common::ServiceName& name) {
  const auto declared = fleet.model_services.find(name);
  if (declared != fleet.model_services.end()) {
    return declared->second;
  }
  if (fleet.models.count(name) == 0) {
    return std::nullopt;
  }
  configuration::ModelServiceDeclaration undeclared;
  undeclared.name = name;
  undeclared.model = name;
  return undeclared;
}

}  // namespace

std::optional<ModelTarget> resolveTarget(const configuration::FleetConfiguration& fleet,
                                         const ModelCall& call) {
  const auto service = findService(fleet, call.service);
  if (!service) {
    return std::nullopt;
  }
  const auto model = fleet.models.find(service->model);
  if (model == fleet.models.end()) {
    return std::nullopt;
  }
  ModelTarget target;
  target.service = *service;
  target.version = model->second.version;
  target.maximum_tokens = call.maximum_tokens == 0
                              ? service->maximum_tokens
                              : std::min(call.maximum_tokens, service->maximum_tokens);
  const auto salt = service->model + "/" + target.version + "/" + service->adapter;
  target.shape = call.shape.tokens != 0 ? call.shape : common::shapeOfPrompt(call.prompt, salt);
  return target;
}

}  // namespace cypresswall::execution
