#include "cypresswall/operators/change_builder.h"

#include <algorithm>

#include "cypresswall/configuration/address.h"
#include "cypresswall/configuration/fleet_file.h"
#include "cypresswall/configuration/object_codec.h"

namespace cypresswall::operators {
namespace {

using configuration::FleetConfiguration;
using configuration::ObjectChange;
using configuration::ObjectKind;

/// \return the object with that name, or `fresh` if there is none.
template <typename Object>
Object existingOr(const std::map<std::string, Object>& objects, const std::string& name,
                  Object fresh) {
  const auto found = objects.find(name);
  return found == objects.end() ? std::move(fresh) : found->second;
}

template <typename Value>
void assignIfGiven(Value& target, const std::optional<Value>& given) {
  if (given) {
    target = *given;
  }
}

class ChangeBuilder {
 public:
  ChangeBuilder(const FleetConfiguration& current, const FleetFileText& file)
      : current_(current), file_(file) {}

  std::vector<ObjectChange> operator()(const DeclareZoneCommand& command) const {
    auto zone = existingOr(current_.zones, command.zone, {command.zone, {}});
    assignIfGiven(zone.region, command.region);
    return set(ObjectKind::kZone, zone.name, zone);
  }

  std::vector<ObjectChange> operator()(const DeclareModelCommand& command) const {
    auto model = existingOr(current_.models, command.model, {command.model, {}, {}, {}});
    assignIfGiven(model.version, command.version);
    assignIfGiven(model.weights_uri, command.weights);
    for (const AdapterClause& clause : command.adapters) {
      const auto known = std::find_if(model.adapters.begin(), model.adapters.end(),
                                      [&](const auto& one) { return one.name == clause.name; });
      if (known == model.adapters.end()) {
        model.adapters.push_back({clause.name, clause.weights_uri});
      } else {
        known->weights_uri = clause.weights_uri;
      }
    }
    return set(ObjectKind::kModel, model.name, model);
  }

  std::vector<ObjectChange> operator()(const DeclareEngineCommand& command) const {
    auto engine = existingOr(current_.engines, command.engine, {command.engine, {}, {}, {}, {}});
    assignIfGiven(engine.zone, command.zone);
    assignIfGiven(engine.machine, command.machine);
    assignIfGiven(engine.address, command.address);
    assignIfGiven(engine.model, command.model);
    assignIfGiven(engine.initial_role, command.role);
    assignIfGiven(engine.build, command.build);
    return set(ObjectKind::kEngine, engine.name, engine);
  }

  std::vector<ObjectChange> operator()(const DeclareTenantCommand& command) const {
    auto tenant = existingOr(current_.tenants, command.tenant, {command.tenant, {}, 0, 0});
    assignIfGiven(tenant.api_key, command.key);
    assignIfGiven(tenant.requests_per_second, command.requests);
    assignIfGiven(tenant.tokens_per_second, command.tokens);
    return set(ObjectKind::kTenant, tenant.name, tenant);
  }

  std::vector<ObjectChange> operator()(const BindServiceCommand& command) const {
    configuration::ModelServiceDeclaration fresh;
    fresh.name = command.service;
    auto service = existingOr(current_.model_services, command.service, std::move(fresh));
    if (service.model != command.model && !command.adapter) {
      service.adapter.clear();
    }
    service.model = command.model;
    assignIfGiven(service.adapter, command.adapter);
    assignIfGiven(service.urgency, command.urgency);
    assignIfGiven(service.first_token_limit, command.first_token);
    assignIfGiven(service.between_tokens_limit, command.between_tokens);
    assignIfGiven(service.maximum_tokens, command.maximum_tokens);
    return set(ObjectKind::kModelService, service.name, service);
  }

  std::vector<ObjectChange> operator()(const RemoveCommand& command) const {
    std::vector<ObjectChange> changes = {
        configuration::removeObject(kindOf(command), command.name)};
    if (command.target == RemoveTarget::kEngine &&
        current_.engine_overrides.count(command.name) > 0) {
      changes.push_back(configuration::removeObject(ObjectKind::kEngineOverride, command.name));
    }
    return changes;
  }

  std::vector<ObjectChange> operator()(const DrainCommand& command) const {
    if (command.target == DrainTarget::kEngine) {
      auto engine_override = overrideOf(command.name);
      engine_override.drained = command.drained;
      return setOverride(engine_override);
    }
    if (command.target == DrainTarget::kNode && !configuration::isNumericEndpoint(command.name)) {
      throw CommandError("a node is named by its IP:port, not \"" + command.name + "\"");
    }
    const bool drained = current_.drained_nodes.count(command.name) > 0;
    if (drained == command.drained) {
      return {};
    }
    if (!command.drained) {
      return {configuration::removeObject(ObjectKind::kNodeDrain, command.name)};
    }
    return {configuration::setObject(ObjectKind::kNodeDrain, command.name,
                                     configuration::NodeDrain{true})};
  }

  std::vector<ObjectChange> operator()(const PinCommand& command) const {
    auto engine_override = overrideOf(command.engine);
    engine_override.role_pinned = command.role.has_value();
    engine_override.role = command.role.value_or(engines::EngineRole::kMixed);
    return setOverride(engine_override);
  }

  std::vector<ObjectChange> operator()(const SetPlanningCommand& command) const {
    auto planning = current_.planning;
    assignIfGiven(planning.role_change_weight, command.role_change_weight);
    assignIfGiven(planning.horizon, command.horizon);
    assignIfGiven(planning.automatic_roles, command.automatic_roles);
    const std::string name(configuration::kPlanningObjectName);
    if (encodeObject(planning) == encodeObject(current_.planning)) {
      return {};
    }
    return set(ObjectKind::kPlanning, name, planning);
  }

  std::vector<ObjectChange> operator()(const ApplyCommand& command) const {
    if (file_.text.empty()) {
      throw CommandError("the text of " + command.file + " did not come with the command");
    }
    return configuration::differenceToFleetFile(file_.text, file_.name, current_);
  }

  template <typename Query>
  std::vector<ObjectChange> operator()(const Query&) const {
    throw CommandError("the command changes nothing");
  }

 private:
  template <typename Object>
  static std::vector<ObjectChange> set(ObjectKind kind, const std::string& name,
                                       const Object& object) {
    return {configuration::setObject(kind, name, object)};
  }

  ObjectKind kindOf(const RemoveCommand& command) const {
    switch (command.target) {
      case RemoveTarget::kZone:
        return ObjectKind::kZone;
      case RemoveTarget::kModel:
        return ObjectKind::kModel;
      case RemoveTarget::kEngine:
        return ObjectKind::kEngine;
      case RemoveTarget::kTenant:
        return ObjectKind::kTenant;
      case RemoveTarget::kService:
        break;
    }
    return current_.http_services.count(command.name) > 0 ? ObjectKind::kHttpService
                                                          : ObjectKind::kModelService;
  }

  configuration::EngineOverride overrideOf(const std::string& engine) const {
    configuration::EngineOverride fresh;
    fresh.engine = engine;
    return existingOr(current_.engine_overrides, engine, std::move(fresh));
  }

  /// \return the changes that replace an engine's override by `wanted`, or that remove the override
  ///   if `wanted` neither drains the engine nor pins its role.
  std::vector<ObjectChange> setOverride(const configuration::EngineOverride& wanted) const {
    if (wanted.drained || wanted.role_pinned) {
      return set(ObjectKind::kEngineOverride, wanted.engine, wanted);
    }
    if (current_.engine_overrides.count(wanted.engine) > 0) {
      return {configuration::removeObject(ObjectKind::kEngineOverride, wanted.engine)};
    }
    if (current_.engines.count(wanted.engine) == 0) {
      throw CommandError("engine " + wanted.engine + " is not declared");
    }
    return {};
  }

  const FleetConfiguration& current_;
  const FleetFileText& file_;
};

}  // namespace

std::vector<ObjectChange> buildChanges(const Command& command, const FleetConfiguration& current,
                                       const FleetFileText& file) {
  return std::visit(ChangeBuilder(current, file), command);
}

}  // namespace cypresswall::operators
