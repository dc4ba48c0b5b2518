#include "cypresswall/orders/desired_state.h"

#include <algorithm>

namespace cypresswall::orders {
namespace {

using engines::OrderKind;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::optional<PlannedChange> modelChange(const configuration::ModelDeclaration& model,
                                         const engines::EngineLoad& load) {
  if (load.model == model.name && load.version == model.version) {
    return std::nullopt;
  }
  PlannedChange change;
  change.content.kind = OrderKind::kLoadModel;
  change.content.model = model.name;
  change.content.version = model.version;
  change.reason = "declared: model " + model.name + " version " + model.version;
  return change;
}

std::optional<PlannedChange> adapterChange(const configuration::ModelDeclaration& model,
                                           const engines::EngineLoad& load) {
  PlannedChange change;
  change.content.model = model.name;
  change.content.version = model.version;
  for (const auto& adapter : model.adapters) {
    if (!contains(load.adapters, adapter.name)) {
      change.content.kind = OrderKind::kLoadAdapter;
      change.content.adapter = adapter.name;
      // Loading an adapter does not affect running streams.
      change.content.only_if_idle = false;
      change.drain = false;
      change.reason = "declared: adapter " + adapter.name;
      return change;
    }
  }
  for (const std::string& loaded : load.adapters) {
    const bool declared = std::any_of(model.adapters.begin(), model.adapters.end(),
                                      [&](const auto& adapter) { return adapter.name == loaded; });
    if (!declared) {
      change.content.kind = OrderKind::kUnloadAdapter;
      change.content.adapter = loaded;
      change.reason = "no longer declared: adapter " + loaded;
      return change;
    }
  }
  return std::nullopt;
}

}  // namespace

PlannedChange roleChange(engines::EngineRole role, std::string reason) {
  PlannedChange change;
  change.content.kind = OrderKind::kChangeRole;
  change.content.role = role;
  change.reason = std::move(reason);
  return change;
}

bool rolePinned(const configuration::FleetConfiguration& fleet, const common::EngineName& engine) {
  const auto found = fleet.engine_overrides.find(engine);
  return found != fleet.engine_overrides.end() && found->second.role_pinned;
}

std::optional<PlannedChange> declaredChange(const configuration::FleetConfiguration& fleet,
                                            const routing::EngineRecord& record) {
  const auto model = fleet.models.find(record.declaration.model);
  if (model != fleet.models.end()) {
    if (auto change = modelChange(model->second, record.load)) {
      return change;
    }
    if (auto change = adapterChange(model->second, record.load)) {
      return change;
    }
  }
  const auto pinned = fleet.engine_overrides.find(record.declaration.name);
  if (pinned != fleet.engine_overrides.end() && pinned->second.role_pinned &&
      pinned->second.role != record.load.role) {
    return roleChange(pinned->second.role, "pinned by an operator");
  }
  return std::nullopt;
}

}  // namespace cypresswall::orders
