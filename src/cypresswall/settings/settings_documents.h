/// Documents made from the table of keys: the default settings as a file, and the rows of
/// docs/settings.md.
#pragma once

#include <string>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return a settings file with every key at its default; keys that must be given are commented
/// out.
std::string defaultSettingsText();
/// \return the row of docs/settings.md for one key.
std::string documentRow(const SettingKey& key);

}  // namespace cypresswall::settings
