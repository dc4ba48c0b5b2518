#include "cypresswall/configuration/object_codec.h"

#include <charconv>
#include <cmath>
#include <set>
#include <type_traits>

#include "cypresswall/configuration/duration_text.h"

namespace cypresswall::configuration {
namespace {

using nlohmann::json;

template <typename Object>
json encodeFields(Object object);

class FieldEncoder {
 public:
  template <typename Value>
  void operator()(const char* name, Value& value, FieldPresence) {
    result[name] = encodeValue(value);
  }
  json result = json::object();

 private:
  static json encodeValue(const std::string& value) { return value; }
  static json encodeValue(bool value) { return value; }
  static json encodeValue(double value) { return value; }
  static json encodeValue(std::uint32_t value) { return value; }
  static json encodeValue(common::Duration value) { return formatDuration(value); }
  static json encodeValue(engines::EngineRole value) { return engines::toString(value); }
  static json encodeValue(Urgency value) { return toString(value); }
  static json encodeValue(const std::optional<Urgency>& value) {
    return value ? json(toString(*value)) : json();
  }
  static json encodeValue(const std::vector<std::string>& values) { return values; }
  template <typename Element>
  static json encodeValue(const std::vector<Element>& values) {
    json list = json::array();
    for (const Element& element : values) {
      list.push_back(encodeFields(element));
    }
    return list;
  }
};

template <typename Object>
json encodeFields(Object object) {
  FieldEncoder encoder;
  visitFields(encoder, object);
  return std::move(encoder.result);
}

[[noreturn]] void fail(const std::string& path, const std::string& message) {
  throw FieldDecodeError(FieldError{path, message});
}

/// \return true if `text` is valid UTF-8. The JSON library checks this only when it serialises a
///   string, which is therefore done here.
bool isValidUtf8(const json& text) {
  try {
    text.dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

template <typename Object>
void decodeFields(const json& source, const std::string& path, const DecodeOptions& options,
                  Object& object);

class FieldDecoder {
 public:
  FieldDecoder(const json& source, std::string path, const DecodeOptions& options)
      : source_(source), path_(std::move(path)), options_(options) {}

  template <typename Value>
  void operator()(const char* name, Value& value, FieldPresence presence) {
    known_.insert(name);
    const auto found = source_.find(name);
    if (found != source_.end() && !found->is_null()) {
      decodeValue(*found, pathOf(name), value);
    } else if (presence == FieldPresence::kRequired) {
      fail(pathOf(name), "is required");
    }
  }

  void refuseUnknownFields() const {
    if (!options_.refuse_unknown_fields) {
      return;
    }
    for (const auto& [name, value] : source_.items()) {
      if (known_.count(name) == 0) {
        fail(pathOf(name), "is not a known field");
      }
    }
  }

 private:
  std::string pathOf(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
  }

  static void decodeValue(const json& source, const std::string& path, std::string& value) {
    if (!source.is_string()) {
      fail(path, "must be a text");
    }
    if (!isValidUtf8(source)) {
      fail(path, "must be valid UTF-8");
    }
    value = source.get<std::string>();
  }

  void decodeValue(const json& source, const std::string& path, bool& value) const {
    if (source.is_boolean()) {
      value = source.get<bool>();
    } else if (options_.scalars_as_text && (source == "true" || source == "false")) {
      value = source == "true";
    } else {
      fail(path, "must be true or false");
    }
  }

  void decodeValue(const json& source, const std::string& path, double& value) const {
    if (source.is_number()) {
      value = source.get<double>();
    } else if (!parseText(source, value)) {
      fail(path, "must be a number");
    }
    if (!std::isfinite(value)) {
      fail(path, "must be a finite number");
    }
  }

  void decodeValue(const json& source, const std::string& path, std::uint32_t& value) const {
    constexpr std::uint64_t kMaximum = UINT32_MAX;
    if (source.is_number_unsigned() && source.get<std::uint64_t>() <= kMaximum) {
      value = source.get<std::uint32_t>();
    } else if (!parseText(source, value)) {
      fail(path, "must be a whole number from 0 to " + std::to_string(kMaximum));
    }
  }

  static void decodeValue(const json& source, const std::string& path, common::Duration& value) {
    const auto parsed =
        source.is_string() ? parseDuration(source.get_ref<const std::string&>()) : std::nullopt;
    if (!parsed) {
      fail(path, "must be a duration such as 1.3s or 79ms");
    }
    value = *parsed;
  }

  static void decodeValue(const json& source, const std::string& path, engines::EngineRole& value) {
    if (!source.is_string() || !engines::parseRole(source.get<std::string>(), value)) {
      fail(path, "must be mixed, prefill or decode");
    }
  }

  static void decodeValue(const json& source, const std::string& path, Urgency& value) {
    const auto parsed =
        source.is_string() ? parseUrgency(source.get_ref<const std::string&>()) : std::nullopt;
    if (!parsed) {
      fail(path, "must be low, normal, high or critical");
    }
    value = *parsed;
  }

  static void decodeValue(const json& source, const std::string& path,
                          std::optional<Urgency>& value) {
    decodeValue(source, path, value.emplace());
  }

  static void decodeValue(const json& source, const std::string& path,
                          std::vector<std::string>& values) {
    if (!source.is_array()) {
      fail(path, "must be a list");
    }
    values.clear();
    for (std::size_t index = 0; index < source.size(); ++index) {
      decodeValue(source[index], path + "[" + std::to_string(index) + "]", values.emplace_back());
    }
  }

  template <typename Element>
  void decodeValue(const json& source, const std::string& path,
                   std::vector<Element>& values) const {
    if (!source.is_array()) {
      fail(path, "must be a list");
    }
    values.clear();
    for (std::size_t index = 0; index < source.size(); ++index) {
      Element element;
      decodeFields(source[index], path + "[" + std::to_string(index) + "]", options_, element);
      values.push_back(std::move(element));
    }
  }

  template <typename Number>
  bool parseText(const json& source, Number& value) const {
    if (!options_.scalars_as_text || !source.is_string()) {
      return false;
    }
    const auto& text = source.get_ref<const std::string&>();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  }

  const json& source_;
  std::string path_;
  const DecodeOptions& options_;
  std::set<std::string> known_;
};

template <typename Object>
void decodeFields(const json& source, const std::string& path, const DecodeOptions& options,
                  Object& object) {
  if (!source.is_object()) {
    fail(path, "must be an object with named fields");
  }
  FieldDecoder decoder(source, path, options);
  visitFields(decoder, object);
  decoder.refuseUnknownFields();
}

}  // namespace

json encodeObject(const ZoneDeclaration& object) { return encodeFields(object); }
json encodeObject(const ModelDeclaration& object) { return encodeFields(object); }
json encodeObject(const EngineDeclaration& object) { return encodeFields(object); }
json encodeObject(const ModelServiceDeclaration& object) { return encodeFields(object); }
json encodeObject(const HttpServiceDeclaration& object) { return encodeFields(object); }
json encodeObject(const TenantDeclaration& object) { return encodeFields(object); }
json encodeObject(const PlanningPolicy& object) { return encodeFields(object); }
json encodeObject(const EngineOverride& object) { return encodeFields(object); }
json encodeObject(const NodeDrain& object) { return encodeFields(object); }

template <typename Object>
Object decodeObject(const json& json, const DecodeOptions& options) {
  Object object;
  decodeFields(json, "", options, object);
  return object;
}

template ZoneDeclaration decodeObject(const json&, const DecodeOptions&);
template ModelDeclaration decodeObject(const json&, const DecodeOptions&);
template EngineDeclaration decodeObject(const json&, const DecodeOptions&);
template ModelServiceDeclaration decodeObject(const json&, const DecodeOptions&);
template HttpServiceDeclaration decodeObject(const json&, const DecodeOptions&);
template TenantDeclaration decodeObject(const json&, const DecodeOptions&);
template PlanningPolicy decodeObject(const json&, const DecodeOptions&);
template EngineOverride decodeObject(const json&, const DecodeOptions&);
template NodeDrain decodeObject(const json&, const DecodeOptions&);

}  // namespace cypresswall::configuration
