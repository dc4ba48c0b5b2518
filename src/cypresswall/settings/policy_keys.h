/// Keys of the settings by which operators choose how the system decides.
#pragma once

#include <vector>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return how roles of engines are planned
std::vector<SettingKey> planningKeys();
/// \return how often requests may be repeated
std::vector<SettingKey> retryKeys();
/// \return when requests are kept from engines
std::vector<SettingKey> quarantineKeys();
/// \return what one node does for the whole fleet
std::vector<SettingKey> dutyKeys();
/// \return how the number of engines follows the work
std::vector<SettingKey> autoscalingKeys();
/// \return each mechanism by which the system copes with overload, to be switched off by itself
std::vector<SettingKey> mechanismKeys();

}  // namespace cypresswall::settings
