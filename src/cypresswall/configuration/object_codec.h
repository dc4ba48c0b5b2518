/// JSON codec of declared objects. Durations are strings ("79ms"); roles and urgencies are written
/// by name.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "cypresswall/configuration/fleet.h"
#include "cypresswall/configuration/object_fields.h"
#include "cypresswall/configuration/object_kind.h"

namespace cypresswall::configuration {

/// Strictness of the decoder.
struct DecodeOptions {
  /// If true, unknown fields are errors. If false, they are ignored, so that a node can read
  /// changes accepted by a newer release.
  bool refuse_unknown_fields = true;
  /// If true, accepts numbers and booleans written as text, as a YAML parser returns them.
  bool scalars_as_text = false;
};

/// One field that can't be decoded.
struct FieldError {
  /// Path of the field within the object, for example "operations[0].time_limit".
  std::string field;
  std::string message;
};

/// Thrown by the decoder for the first field that it can't decode.
class FieldDecodeError : public common::Error {
 public:
  explicit FieldDecodeError(FieldError error)
      : common::Error(error.field + ": " + error.message), error_(std::move(error)) {}
  const FieldError& error() const { return error_; }

 private:
  FieldError error_;
};

nlohmann::json encodeObject(const ZoneDeclaration& object);
nlohmann::json encodeObject(const ModelDeclaration& object);
nlohmann::json encodeObject(const EngineDeclaration& object);
nlohmann::json encodeObject(const ModelServiceDeclaration& object);
nlohmann::json encodeObject(const HttpServiceDeclaration& object);
nlohmann::json encodeObject(const TenantDeclaration& object);
nlohmann::json encodeObject(const PlanningPolicy& object);
nlohmann::json encodeObject(const EngineOverride& object);
nlohmann::json encodeObject(const NodeDrain& object);

/// Decodes one object; missing optional fields keep the defaults of its type. Instantiated for each
/// type that has an encodeObject().
/// \throws FieldDecodeError
template <typename Object>
Object decodeObject(const nlohmann::json& json, const DecodeOptions& options);

/// \return a change that sets the object `name` to `object`.
template <typename Object>
ObjectChange setObject(ObjectKind kind, const std::string& name, const Object& object) {
  return ObjectChange{kind, name, false, encodeObject(object).dump()};
}

/// \return a change that removes the object `name`.
inline ObjectChange removeObject(ObjectKind kind, const std::string& name) {
  return ObjectChange{kind, name, true, {}};
}

}  // namespace cypresswall::configuration
