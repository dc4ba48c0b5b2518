/// Names of object kinds and urgencies, and errors that refer to an object.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

/// Name of the only object of kind kPlanning.
inline constexpr std::string_view kPlanningObjectName = "planning";

/// \return the kind's name as used in commands and messages, for example "model_service".
const char* toString(ObjectKind kind);
/// Inverse of toString(ObjectKind).
std::optional<ObjectKind> parseObjectKind(std::string_view text);

/// \return "low", "normal", "high" or "critical".
const char* toString(Urgency urgency);
/// Inverse of toString(Urgency).
std::optional<Urgency> parseUrgency(std::string_view text);

/// An error in one declared object.
struct ObjectError {
  ObjectKind kind = ObjectKind::kZone;
  std::string name;
  /// Path of the field within the object, for example "backends[1].address"; may be empty.
  std::string field;
  std::string message;

  bool operator==(const ObjectError&) const = default;
  /// \return for example `engine e1, field zone: zone "hall-x" is not declared`.
  std::string toString() const;
};

/// An invalid change, object or file, with all errors found.
class ConfigurationError : public common::Error {
 public:
  explicit ConfigurationError(std::vector<ObjectError> errors);
  const std::vector<ObjectError>& errors() const { return errors_; }

 private:
  std::vector<ObjectError> errors_;
};

}  // namespace cypresswall::configuration
