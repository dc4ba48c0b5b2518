#include "cypresswall/settings/settings_source.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

#include "cypresswall/settings/key_table.h"

namespace cypresswall::settings {
namespace {

std::string joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += (text.empty() ? "" : "\n") + line;
  }
  return text;
}

bool isSection(const std::string& name) {
  for (const SettingKey& key : settingKeys()) {
    if (key.name.starts_with(name + ".")) {
      return true;
    }
  }
  return false;
}

/// Parses one document and collects its problems.
class FileReader {
 public:
  explicit FileReader(std::string name) : name_(std::move(name)) {}

  SourceValues read(const std::string& text) {
    try {
      const YAML::Node root = YAML::Load(text);
      if (root.IsMap()) {
        readMap(root, "");
      } else if (!root.IsNull()) {
        report(root, "the settings must be a map of sections");
      }
    } catch (const YAML::Exception& error) {
      problems_.push_back(locationOf(error.mark) + ": not readable as YAML: " + error.msg);
    }
    if (!problems_.empty()) {
      throw SettingsError(problems_);
    }
    return std::move(values_);
  }

 private:
  void readMap(const YAML::Node& map, const std::string& prefix) {
    for (const auto& entry : map) {
      if (entry.first.IsScalar()) {
        readEntry(entry.first, entry.second, prefix + entry.first.Scalar());
      } else {
        report(entry.first, "a key must be a scalar");
      }
    }
  }

  void readEntry(const YAML::Node& key_node, const YAML::Node& value, const std::string& name) {
    if (findKey(name) != nullptr) {
      readValue(key_node, value, name);
    } else if (!isSection(name)) {
      report(key_node, name + ": unknown key");
    } else if (value.IsMap()) {
      readMap(value, name + ".");
    } else if (!value.IsNull()) {
      report(key_node, name + ": a section with keys is expected");
    }
  }

  void readValue(const YAML::Node& key_node, const YAML::Node& value, const std::string& name) {
    LocatedValue located;
    located.location = locationOf(key_node.Mark());
    located.value.is_list = value.IsSequence();
    if (value.IsScalar()) {
      located.value.items.push_back(value.Scalar());
    } else if (!value.IsSequence()) {
      report(key_node, name + ": a value is missing");
      return;
    }
    for (const auto& item : value) {
      if (!item.IsScalar()) {
        report(item, name + ": an item must be a single value");
        return;
      }
      located.value.items.push_back(item.Scalar());
    }
    if (!values_.emplace(name, std::move(located)).second) {
      report(key_node, name + ": given twice");
    }
  }

  std::string locationOf(const YAML::Mark& mark) const {
    return mark.is_null() ? name_ : name_ + ":" + std::to_string(mark.line + 1);
  }

  void report(const YAML::Node& node, const std::string& problem) {
    problems_.push_back(locationOf(node.Mark()) + ": " + problem);
  }

  std::string name_;
  SourceValues values_;
  std::vector<std::string> problems_;
};

}  // namespace

SettingsError::SettingsError(const std::vector<std::string>& problems)
    : common::Error(joined(problems)) {}

SourceValues readSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw SettingsError({path + ": the settings file can't be read or is empty"});
  }
  return readSettingsText(text.str(), path);
}

SourceValues readSettingsText(const std::string& text, const std::string& name) {
  return FileReader(name).read(text);
}

}  // namespace cypresswall::settings
