/// Every key of the settings as a command-line flag: "--node_zone" for the key "node.zone".
#pragma once

#include <string>

#include "cypresswall/settings/settings_source.h"

namespace cypresswall::settings {

/// \return the name of the flag of a key, without dashes.
std::string flagName(const std::string& key);
/// Registers the flags with gflags. Call it once, before gflags reads the command line.
void registerSettingFlags();
/// \return the values of the flags that were given. Items of lists are separated by commas.
SourceValues settingFlagValues();

}  // namespace cypresswall::settings
