#include "cypresswall/configuration/fleet_file.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "cypresswall/configuration/object_codec.h"

namespace cypresswall::configuration {
namespace {

using nlohmann::json;

std::string describe(const std::string& file, int line, const std::string& key,
                     const std::string& message) {
  std::string text = file;
  if (line > 0) {
    text.append(":").append(std::to_string(line));
  }
  text.append(": ");
  if (!key.empty()) {
    text.append(key).append(": ");
  }
  return text + message;
}

/// A YAML file converted to JSON, with all scalars as text, and the line number of each key path
/// such as "engines[3].zone".
class LocatedDocument {
 public:
  LocatedDocument(const std::string& text, std::string file) : file_(std::move(file)) {
    YAML::Node root;
    try {
      root = YAML::Load(text);
    } catch (const YAML::Exception& error) {
      throw FleetFileError(file_, error.mark.line + 1, "", error.msg);
    }
    if (!root.IsMap()) {
      throw FleetFileError(file_, 1, "", "must be a map with lists such as zones and engines");
    }
    content_ = convert(root, "", 0);
  }

  const json& content() const { return content_; }

  [[noreturn]] void fail(const std::string& path, const std::string& message) const {
    throw FleetFileError(file_, lineOf(path), path, message);
  }

 private:
  static constexpr int kMaximumDepth = 16;
  /// Aliases of YAML let a short text stand for any number of values. The largest fleet has a third
  /// of this.
  static constexpr std::size_t kMaximumValues = 300'000;

  /// \return the line number of a key path, or of its longest prefix whose line is known.
  int lineOf(std::string path) const {
    while (!path.empty()) {
      const auto found = lines_.find(path);
      if (found != lines_.end()) {
        return found->second;
      }
      const auto cut = path.find_last_of(".[");
      path = cut == std::string::npos ? "" : path.substr(0, cut);
    }
    return 0;
  }

  json convert(const YAML::Node& node, const std::string& path, int depth) {
    lines_.emplace(path, node.Mark().line + 1);
    if (depth > kMaximumDepth) {
      fail(path, "is nested too deeply");
    }
    if (++values_ > kMaximumValues) {
      fail(path, "is one value too many");
    }
    if (node.IsMap()) {
      return convertMap(node, path, depth);
    }
    if (node.IsSequence()) {
      json list = json::array();
      for (const YAML::Node& element : node) {
        std::string element_path = path;
        element_path.append("[").append(std::to_string(list.size())).append("]");
        list.push_back(convert(element, element_path, depth + 1));
      }
      return list;
    }
    return node.IsScalar() ? json(node.Scalar()) : json();
  }

  json convertMap(const YAML::Node& node, const std::string& path, int depth) {
    json object = json::object();
    for (const auto& entry : node) {
      if (!entry.first.IsScalar()) {
        fail(path, "has a key that is not a scalar");
      }
      const std::string& key = entry.first.Scalar();
      std::string key_path = path;
      key_path.append(path.empty() ? "" : ".").append(key);
      lines_.emplace(key_path, entry.first.Mark().line + 1);
      if (object.contains(key)) {
        throw FleetFileError(file_, entry.first.Mark().line + 1, key_path, "is given twice");
      }
      object[key] = convert(entry.second, key_path, depth + 1);
    }
    return object;
  }

  std::string file_;
  json content_;
  std::map<std::string, int> lines_;
  std::size_t values_ = 0;
};

/// Collects the changes that turn a configuration into the contents of a fleet file.
class DifferenceBuilder {
 public:
  explicit DifferenceBuilder(const LocatedDocument& document) : document_(document) {}

  template <typename Object>
  void compareList(const char* key, ObjectKind kind, const std::map<std::string, Object>& current) {
    known_keys_.insert(key);
    const auto list = document_.content().find(key);
    if (list == document_.content().end()) {
      return;
    }
    if (!list->is_array() && !list->is_null()) {
      document_.fail(key, "must be a list");
    }
    std::set<std::string> names;
    for (std::size_t index = 0; index < list->size(); ++index) {
      const std::string path = std::string(key) + "[" + std::to_string(index) + "]";
      const Object object = decode<Object>((*list)[index], path);
      if (object.name.empty()) {
        document_.fail(path + ".name", "must not be empty");
      }
      if (!names.insert(object.name).second) {
        document_.fail(path + ".name", object.name + " is declared twice");
      }
      const auto known = current.find(object.name);
      setIfDifferent(kind, object.name, object, known == current.end() ? nullptr : &known->second);
    }
    for (const auto& [name, object] : current) {
      if (names.count(name) == 0) {
        changes_.push_back(removeObject(kind, name));
      }
    }
  }

  void comparePlanning(const PlanningPolicy& current) {
    const std::string key(kPlanningObjectName);
    known_keys_.insert(key);
    const auto found = document_.content().find(key);
    if (found != document_.content().end()) {
      setIfDifferent(ObjectKind::kPlanning, key, decode<PlanningPolicy>(*found, key), &current);
    }
  }

  void refuseUnknownKeys() const {
    for (const auto& [key, value] : document_.content().items()) {
      if (known_keys_.count(key) == 0) {
        document_.fail(key, "is not a known key");
      }
    }
  }

  std::vector<ObjectChange> take() { return std::move(changes_); }

 private:
  template <typename Object>
  Object decode(const json& source, const std::string& path) const {
    try {
      return decodeObject<Object>(source, DecodeOptions{true, true});
    } catch (const FieldDecodeError& error) {
      const std::string& field = error.error().field;
      document_.fail(field.empty() ? path : path + "." + field, error.error().message);
    }
  }

  template <typename Object>
  void setIfDifferent(ObjectKind kind, const std::string& name, const Object& object,
                      const Object* current) {
    if (current == nullptr || encodeObject(object) != encodeObject(*current)) {
      changes_.push_back(setObject(kind, name, object));
    }
  }

  const LocatedDocument& document_;
  std::set<std::string> known_keys_;
  std::vector<ObjectChange> changes_;
};

}  // namespace

FleetFileError::FleetFileError(const std::string& file, int line, const std::string& key,
                               const std::string& message)
    : common::Error(describe(file, line, key, message)), line_(line), key_(key) {}

std::vector<ObjectChange> differenceToFleetFile(const std::string& text,
                                                const std::string& file_name,
                                                const FleetConfiguration& current) {
  const LocatedDocument document(text, file_name);
  DifferenceBuilder builder(document);
  builder.compareList("zones", ObjectKind::kZone, current.zones);
  builder.compareList("models", ObjectKind::kModel, current.models);
  builder.compareList("engines", ObjectKind::kEngine, current.engines);
  builder.compareList("model_services", ObjectKind::kModelService, current.model_services);
  builder.compareList("http_services", ObjectKind::kHttpService, current.http_services);
  builder.compareList("tenants", ObjectKind::kTenant, current.tenants);
  builder.comparePlanning(current.planning);
  builder.refuseUnknownKeys();
  return builder.take();
}

}  // namespace cypresswall::configuration
