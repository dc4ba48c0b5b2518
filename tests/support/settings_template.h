/// Renders a settings template as the users' platform does, so that tests run nodes with the
/// deployed settings.
#pragma once

#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>

namespace cypresswall::testing {

/// Values by name; a missing value is rendered as an empty string.
using TemplateValues = std::map<std::string, std::string>;

/// Substitutes `{{name}}`, and keeps the section `{{#name}} .. {{/name}}` if the name has a value.
/// Sections can't be nested.
class SettingsTemplate {
 public:
  /// \throws std::runtime_error if the file can't be read
  static SettingsTemplate fromFile(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
      throw std::runtime_error("can't read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return SettingsTemplate(text.str());
  }
  explicit SettingsTemplate(std::string text) : text_(std::move(text)) {}

  std::string filled(const TemplateValues& values) const {
    std::string result;
    std::size_t at = 0;
    while (at < text_.size()) {
      const auto open = text_.find("{{", at);
      if (open == std::string::npos) {
        return result + text_.substr(at);
      }
      const auto close = text_.find("}}", open);
      const std::string name = text_.substr(open + 2, close - open - 2);
      result += text_.substr(at, open - at);
      at = close + 2;
      if (name.front() == '#' && values.count(name.substr(1)) == 0) {
        const std::string end = "{{/" + name.substr(1) + "}}";
        at = text_.find(end, at) + end.size();
      } else if (name.front() != '#' && name.front() != '/') {
        const auto value = values.find(name);
        result += value == values.end() ? "" : value->second;
      }
    }
    return result;
  }

 private:
  std::string text_;
};

}  // namespace cypresswall::testing
