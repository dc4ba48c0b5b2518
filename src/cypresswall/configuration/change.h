/// Applies changes to a configuration and checks the result as a whole.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/configuration/object_codec.h"
#include "cypresswall/configuration/object_kind.h"

namespace cypresswall::configuration {

/// \return `current` with all of `change` applied and the change's version. References between
///   objects are not checked; see checkChange().
/// \throws ConfigurationError if an object can't be decoded
FleetConfiguration applyChange(const FleetConfiguration& current, const ConfigurationChange& change,
                               const DecodeOptions& options = {});

/// \return everything that is wrong with a whole configuration: references to objects that do not
///   exist, duplicate addresses and keys, impossible numbers; empty if it can be served.
std::vector<ObjectError> validate(const FleetConfiguration& configuration);

/// Applies and validates a change. An object that the change removes while others still name it
/// is reported as such.
/// \return the configuration that the change leads to
/// \throws ConfigurationError with everything that is wrong
FleetConfiguration checkChange(const FleetConfiguration& current,
                               const ConfigurationChange& change);

/// \return the whole configuration as JSON: one list for each kind, and the version.
nlohmann::json encodeConfiguration(const FleetConfiguration& configuration);
/// Reads what encodeConfiguration() wrote; unknown fields are ignored.
/// \throws ConfigurationError
FleetConfiguration decodeConfiguration(const nlohmann::json& json);

}  // namespace cypresswall::configuration
