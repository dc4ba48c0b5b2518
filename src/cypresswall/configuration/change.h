/// Applies changes to a configuration and validates the result as a whole.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/configuration/object_codec.h"
#include "cypresswall/configuration/object_kind.h"

namespace cypresswall::configuration {

/// \return a copy of `current` to which all object changes of `change` are applied, with the
///   version of `change`. References between objects are not checked; see checkChange().
/// \throws ConfigurationError if an object can't be decoded
FleetConfiguration applyChange(const FleetConfiguration& current, const ConfigurationChange& change,
                               const DecodeOptions& options = {});

/// \return all errors in a configuration: references to undeclared objects, duplicate addresses and
///   keys, out-of-range numbers; empty if it is valid.
std::vector<ObjectError> validate(const FleetConfiguration& configuration);

/// Applies a change and validates the result. If the change removes an object that other objects
/// still reference, the error is reported for the removed object.
/// \return the resulting configuration
/// \throws ConfigurationError with all errors of the result
FleetConfiguration checkChange(const FleetConfiguration& current,
                               const ConfigurationChange& change);

/// \return the configuration as JSON: one list for each kind of object, and the version.
nlohmann::json encodeConfiguration(const FleetConfiguration& configuration);
/// Inverse of encodeConfiguration(); unknown fields are ignored.
/// \throws ConfigurationError
FleetConfiguration decodeConfiguration(const nlohmann::json& json);

}  // namespace cypresswall::configuration
