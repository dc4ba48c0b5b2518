/// Documentation generated from the key table: a default settings file, and the rows of
/// docs/settings.md.
#pragma once

#include <string>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return a settings file with every key at its default; required keys are commented out.
std::string defaultSettingsText();
/// \return the row of a key in docs/settings.md.
std::string documentRow(const SettingKey& key);

}  // namespace cypresswall::settings
