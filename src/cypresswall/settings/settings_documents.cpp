#include "cypresswall/settings/settings_documents.h"

#include "cypresswall/settings/key_table.h"

namespace cypresswall::settings {
namespace {

/// \return the section of a key, empty for a top-level key.
std::string sectionOf(const std::string& name) {
  const auto dot = name.find('.');
  return dot == std::string::npos ? "" : name.substr(0, dot);
}

std::string keyLines(const SettingKey& key) {
  const std::string section = sectionOf(key.name);
  const std::string indent = section.empty() ? "" : "  ";
  const std::string word = section.empty() ? key.name : key.name.substr(section.size() + 1);
  const std::string comment =
      indent + "# " + key.meaning + " (" + key.unit + ", " + key.range + ")\n";
  const std::string line =
      key.required ? "# " + word + ": must be given" : word + ": " + key.default_text;
  return comment + indent + line + "\n";
}

}  // namespace

std::string defaultSettingsText() {
  std::string text;
  std::string section;
  for (const SettingKey& key : settingKeys()) {
    const std::string own = sectionOf(key.name);
    if (own != section && !own.empty()) {
      text += own + ":\n";
    }
    section = own;
    text += keyLines(key);
  }
  return text;
}

std::string documentRow(const SettingKey& key) {
  const std::string default_text = key.required ? "must be given" : "`" + key.default_text + "`";
  return "| `" + key.name + "` | " + key.unit + " | " + key.range + " | " + default_text + " | " +
         key.meaning + " |";
}

}  // namespace cypresswall::settings
