/// Values of settings with the place that they were given in, from files and from flags.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// Everything that is wrong with the settings, one line for each problem, each naming its place and
/// key.
class SettingsError : public common::Error {
 public:
  explicit SettingsError(const std::vector<std::string>& problems);
};

/// A value and where it stands, for error messages ("node.yaml:12" or "--log_level").
struct PlacedValue {
  GivenValue value;
  std::string place;
};

/// Values by key name.
using SourceValues = std::map<std::string, PlacedValue>;

/// Reads a YAML file: sections with keys, as settingKeys() names them.
/// \throws SettingsError on unreadable files, unknown and doubled keys, and values of wrong shape
SourceValues readSettingsFile(const std::string& path);
/// The same for a text; `name` stands in error messages for the file.
SourceValues readSettingsText(const std::string& text, const std::string& name);

}  // namespace cypresswall::settings
