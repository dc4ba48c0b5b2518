/// Unparsed settings values with their source location, from files and flags.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// Thrown for invalid settings. what() lists all problems, one line each, with source location and
/// key.
class SettingsError : public common::Error {
 public:
  explicit SettingsError(const std::vector<std::string>& problems);
};

/// A value and its source location for error messages ("node.yaml:12" or "--log_level").
struct LocatedValue {
  RawValue value;
  std::string location;
};

/// Values by key name.
using SourceValues = std::map<std::string, LocatedValue>;

/// Reads a YAML settings file, in which sections contain the keys of settingKeys().
/// \throws SettingsError on unreadable files, unknown or duplicate keys, and malformed values
SourceValues readSettingsFile(const std::string& path);
/// Reads settings from the text of such a file; error messages use `name` as the file name.
SourceValues readSettingsText(const std::string& text, const std::string& name);

}  // namespace cypresswall::settings
