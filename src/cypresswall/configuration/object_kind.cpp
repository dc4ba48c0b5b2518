#include "cypresswall/configuration/object_kind.h"

#include <array>

namespace cypresswall::configuration {
namespace {

constexpr std::array<const char*, 9> kKindNames = {
    "zone",   "model",           "engine",     "model_service", "http_service",
    "tenant", "engine_override", "node_drain", "planning"};
constexpr std::array<const char*, 4> kUrgencyNames = {"low", "normal", "high", "critical"};

template <typename Enumeration, std::size_t Size>
std::optional<Enumeration> parseName(const std::array<const char*, Size>& names,
                                     std::string_view text) {
  for (std::size_t index = 0; index < Size; ++index) {
    if (text == names[index]) {
      return static_cast<Enumeration>(index);
    }
  }
  return std::nullopt;
}

std::string joinErrors(const std::vector<ObjectError>& errors) {
  std::string text;
  for (const ObjectError& error : errors) {
    text += text.empty() ? "" : "; ";
    text += error.toString();
  }
  return text;
}

}  // namespace

const char* toString(ObjectKind kind) { return kKindNames.at(static_cast<std::size_t>(kind)); }

std::optional<ObjectKind> parseObjectKind(std::string_view text) {
  return parseName<ObjectKind>(kKindNames, text);
}

const char* toString(Urgency urgency) {
  return kUrgencyNames.at(static_cast<std::size_t>(urgency));
}

std::optional<Urgency> parseUrgency(std::string_view text) {
  return parseName<Urgency>(kUrgencyNames, text);
}

std::string ObjectError::toString() const {
  std::string text = std::string(configuration::toString(kind)) + " " + name;
  if (!field.empty()) {
    text += ", field " + field;
  }
  return text + ": " + message;
}

ConfigurationError::ConfigurationError(std::vector<ObjectError> errors)
    : common::Error(joinErrors(errors)), errors_(std::move(errors)) {}

}  // namespace cypresswall::configuration
