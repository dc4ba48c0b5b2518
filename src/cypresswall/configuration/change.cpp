#include "cypresswall/configuration/change.h"

#include <map>
#include <utility>
#include <vector>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::configuration {
namespace {

using nlohmann::json;

[[noreturn]] void fail(const ObjectChange& change, const std::string& field,
                       const std::string& message) {
  throw ConfigurationError({ObjectError{change.kind, change.name, field, message}});
}

json parseValue(const ObjectChange& change) {
  try {
    common::BoundedJson value = common::parseBoundedJson(change.value_json);
    if (!value.repaired()) {
      return std::move(value.value);
    }
  } catch (const common::JsonError&) {
    // Reported below.
  }
  fail(change, "", "the value is not valid JSON");
}

template <typename Object>
Object decodeValue(const ObjectChange& change, const DecodeOptions& options) {
  try {
    return decodeObject<Object>(parseValue(change), options);
  } catch (const FieldDecodeError& error) {
    fail(change, error.error().field, error.error().message);
  }
}

/// Applies a change to a map of objects by name. Each object also contains its own name, in
/// `name_field`.
template <typename Object>
void applyNamed(std::map<std::string, Object>& objects, std::string Object::*name_field,
                const ObjectChange& change, const DecodeOptions& options) {
  if (change.removed) {
    if (objects.erase(change.name) == 0) {
      fail(change, "", "can't be removed: it is not declared");
    }
    return;
  }
  Object object = decodeValue<Object>(change, options);
  if (object.*name_field != change.name) {
    fail(change, "name", "names another object: " + object.*name_field);
  }
  objects[change.name] = std::move(object);
}

void applyNodeDrain(FleetConfiguration& result, const ObjectChange& change,
                    const DecodeOptions& options) {
  if (change.removed || !decodeValue<NodeDrain>(change, options).drained) {
    result.drained_nodes.erase(change.name);
  } else {
    result.drained_nodes[change.name] = true;
  }
}

void applyObject(FleetConfiguration& result, const ObjectChange& change,
                 const DecodeOptions& options) {
  if (change.name.empty()) {
    fail(change, "name", "must not be empty");
  }
  switch (change.kind) {
    case ObjectKind::kZone:
      return applyNamed(result.zones, &ZoneDeclaration::name, change, options);
    case ObjectKind::kModel:
      return applyNamed(result.models, &ModelDeclaration::name, change, options);
    case ObjectKind::kEngine:
      return applyNamed(result.engines, &EngineDeclaration::name, change, options);
    case ObjectKind::kModelService:
      return applyNamed(result.model_services, &ModelServiceDeclaration::name, change, options);
    case ObjectKind::kHttpService:
      return applyNamed(result.http_services, &HttpServiceDeclaration::name, change, options);
    case ObjectKind::kTenant:
      return applyNamed(result.tenants, &TenantDeclaration::name, change, options);
    case ObjectKind::kEngineOverride:
      return applyNamed(result.engine_overrides, &EngineOverride::engine, change, options);
    case ObjectKind::kNodeDrain:
      return applyNodeDrain(result, change, options);
    case ObjectKind::kPlanning:
      result.planning =
          change.removed ? PlanningPolicy{} : decodeValue<PlanningPolicy>(change, options);
      return;
  }
  fail(change, "kind", "is not a known kind of object");
}

std::vector<common::ZoneName> zoneNames(const FleetConfiguration& configuration) {
  std::vector<common::ZoneName> names;
  for (const auto& [name, zone] : configuration.zones) {
    names.push_back(name);
  }
  return names;
}

/// Appends the declared zones to zone_sets if they differ from the last set there.
void recordZoneSet(FleetConfiguration& configuration) {
  auto& sets = configuration.zone_sets;
  auto names = zoneNames(configuration);
  if (sets.empty() ? names.empty() : sets.back().zones == names) {
    return;
  }
  sets.push_back({configuration.version, std::move(names)});
  if (sets.size() > kRetainedZoneSets) {
    sets.erase(sets.begin());
  }
}

json encodeZoneSets(const std::vector<ZoneSet>& sets) {
  json list = json::array();
  for (const ZoneSet& set : sets) {
    list.push_back({{"version", set.version}, {"zones", set.zones}});
  }
  return list;
}

void decodeZoneSets(const json& source, FleetConfiguration& result) {
  for (const json& set : source.value("zone_sets", json::array())) {
    result.zone_sets.push_back({common::integerAt(set, "version", common::kLargestInteger),
                                set.at("zones").get<std::vector<common::ZoneName>>()});
  }
  if (result.zone_sets.empty() && !result.zones.empty()) {
    // The configuration was encoded by a release that did not have zone_sets.
    result.zone_sets.push_back({0, zoneNames(result)});
  }
}

template <typename Object>
json encodeList(const std::map<std::string, Object>& objects) {
  json list = json::array();
  for (const auto& [name, object] : objects) {
    list.push_back(encodeObject(object));
  }
  return list;
}

/// Decodes the list `key` of an encoded configuration into `objects`.
template <typename Object>
void decodeList(const json& source, const char* key, ObjectKind kind,
                std::string Object::*name_field, std::map<std::string, Object>& objects) {
  constexpr DecodeOptions kTolerant{false, false};
  const auto list = source.find(key);
  if (list == source.end()) {
    return;
  }
  for (const json& element : *list) {
    try {
      Object object = decodeObject<Object>(element, kTolerant);
      objects[object.*name_field] = std::move(object);
    } catch (const FieldDecodeError& error) {
      throw ConfigurationError(
          {ObjectError{kind, key, error.error().field, error.error().message}});
    }
  }
}

/// Replaces each error about a reference to an object that `change` removed by an error of the
/// removed object, which says that the object can't be removed.
void explainRemovals(const ConfigurationChange& change, std::vector<ObjectError>& errors) {
  for (ObjectError& error : errors) {
    for (const ObjectChange& object : change.objects) {
      const std::string missing =
          std::string(toString(object.kind)) + " " + object.name + " is not declared";
      if (object.removed && error.message == missing) {
        const std::string user = std::string(toString(error.kind)) + " " + error.name;
        error = ObjectError{object.kind, object.name, "",
                            "can't be removed: " + user + " uses it (field " + error.field + ")"};
        break;
      }
    }
  }
}

}  // namespace

FleetConfiguration applyChange(const FleetConfiguration& current, const ConfigurationChange& change,
                               const DecodeOptions& options) {
  FleetConfiguration result = current;
  for (const ObjectChange& object : change.objects) {
    applyObject(result, object, options);
  }
  result.version = change.version;
  recordZoneSet(result);
  return result;
}

FleetConfiguration checkChange(const FleetConfiguration& current,
                               const ConfigurationChange& change) {
  FleetConfiguration result = applyChange(current, change);
  std::vector<ObjectError> errors = validate(result);
  if (!errors.empty()) {
    explainRemovals(change, errors);
    throw ConfigurationError(std::move(errors));
  }
  return result;
}

json encodeConfiguration(const FleetConfiguration& configuration) {
  json result;
  result["version"] = configuration.version;
  result["zones"] = encodeList(configuration.zones);
  result["models"] = encodeList(configuration.models);
  result["engines"] = encodeList(configuration.engines);
  result["model_services"] = encodeList(configuration.model_services);
  result["http_services"] = encodeList(configuration.http_services);
  result["tenants"] = encodeList(configuration.tenants);
  result["engine_overrides"] = encodeList(configuration.engine_overrides);
  result["drained_nodes"] = json::array();
  for (const auto& [name, drained] : configuration.drained_nodes) {
    result["drained_nodes"].push_back(name);
  }
  result["planning"] = encodeObject(configuration.planning);
  result["zone_sets"] = encodeZoneSets(configuration.zone_sets);
  return result;
}

FleetConfiguration decodeConfiguration(const json& source) {
  FleetConfiguration result;
  try {
    result.version = common::integerAt(source, "version", common::kLargestInteger);
    decodeList(source, "zones", ObjectKind::kZone, &ZoneDeclaration::name, result.zones);
    decodeZoneSets(source, result);
    decodeList(source, "models", ObjectKind::kModel, &ModelDeclaration::name, result.models);
    decodeList(source, "engines", ObjectKind::kEngine, &EngineDeclaration::name, result.engines);
    decodeList(source, "model_services", ObjectKind::kModelService, &ModelServiceDeclaration::name,
               result.model_services);
    decodeList(source, "http_services", ObjectKind::kHttpService, &HttpServiceDeclaration::name,
               result.http_services);
    decodeList(source, "tenants", ObjectKind::kTenant, &TenantDeclaration::name, result.tenants);
    decodeList(source, "engine_overrides", ObjectKind::kEngineOverride, &EngineOverride::engine,
               result.engine_overrides);
    for (const json& name : source.value("drained_nodes", json::array())) {
      result.drained_nodes[name.get<std::string>()] = true;
    }
    result.planning =
        decodeObject<PlanningPolicy>(source.value("planning", json::object()), {false, false});
  } catch (const json::exception& error) {
    throw ConfigurationError(
        {ObjectError{ObjectKind::kPlanning, "configuration", "",
                     "can't be decoded: " + common::abbreviated(error.what())}});
  } catch (const common::JsonError& error) {
    throw ConfigurationError({ObjectError{ObjectKind::kPlanning, "configuration", "",
                                          std::string("can't be decoded: ") + error.what()}});
  } catch (const FieldDecodeError& error) {
    throw ConfigurationError({ObjectError{ObjectKind::kPlanning, std::string(kPlanningObjectName),
                                          error.error().field, error.error().message}});
  }
  return result;
}

}  // namespace cypresswall::configuration
