/// Table of all settings keys of the daemon.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return the keys in documentation order.
const std::vector<SettingKey>& settingKeys();
/// \return the key with that name, or null.
const SettingKey* findKey(const std::string& name);

}  // namespace cypresswall::settings
