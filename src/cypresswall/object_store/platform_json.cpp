#include "cypresswall/object_store/platform_json.h"

#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::object_store {
namespace {

using Json = nlohmann::json;

StoredObject objectOf(const Json& value) {
  StoredObject object;
  object.key = value.at("key").get<std::string>();
  object.version = common::integerAt(value, "version");
  object.value = value.at("value").get<std::string>();
  object.change_id = value.at("change_id").get<std::string>();
  return object;
}

MachineState stateOf(const std::string& name) {
  if (name == "live") {
    return MachineState::kLive;
  }
  if (name == "leaving") {
    return MachineState::kLeaving;
  }
  if (name == "gone") {
    return MachineState::kGone;
  }
  throw PlatformProtocolError("unknown machine state " + common::abbreviated(name));
}

Machine machineOf(const Json& value) {
  Machine machine;
  machine.name = value.at("name").get<std::string>();
  machine.zone = value.at("zone").get<std::string>();
  machine.state = stateOf(value.at("state").get<std::string>());
  machine.addresses = value.at("addresses").get<std::vector<std::string>>();
  return machine;
}

/// Parses `json` and converts it; every failure becomes a PlatformProtocolError.
template <typename Convert>
auto converted(std::string_view json, Convert convert) {
  try {
    return convert(common::parseBoundedJson(json).value);
  } catch (const Json::exception& error) {
    throw PlatformProtocolError("platform's answer cannot be parsed: " +
                                common::abbreviated(error.what()));
  } catch (const common::JsonError& error) {
    throw PlatformProtocolError(std::string("platform's answer cannot be parsed: ") + error.what());
  }
}

}  // namespace

std::string objectWriteJson(const ObjectWrite& write) {
  const Json value = {{"expected_version", write.expected_version},
                      {"value", write.value},
                      {"change_id", write.change_id}};
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

StoredObject parseStoredObject(std::string_view json) { return converted(json, objectOf); }

ObjectListing parseObjectListing(std::string_view json) {
  return converted(json, [](const Json& value) {
    ObjectListing listing;
    listing.revision = common::integerAt(value, "revision");
    for (const Json& object : value.at("objects")) {
      try {
        listing.objects.push_back(objectOf(object));
      } catch (const Json::exception&) {
        ++listing.unreadable;
      } catch (const common::JsonError&) {
        ++listing.unreadable;
      }
    }
    return listing;
  });
}

std::vector<Machine> parseMachines(std::string_view json) {
  return converted(json, [](const Json& value) {
    // Iteration over null yields nothing, and machines that are not listed count as gone.
    const Json& list = value.at("machines");
    if (!list.is_array()) {
      throw PlatformProtocolError("platform's answer has no list of machines");
    }
    std::vector<Machine> machines;
    for (const Json& machine : list) {
      machines.push_back(machineOf(machine));
    }
    return machines;
  });
}

}  // namespace cypresswall::object_store
