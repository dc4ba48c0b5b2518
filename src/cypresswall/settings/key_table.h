/// All keys of the daemon's settings.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return the keys in the order in which documents list them.
const std::vector<SettingKey>& settingKeys();
/// \return the key of that name, or null.
const SettingKey* findKey(const std::string& name);

}  // namespace cypresswall::settings
