/// Command-line flags for all settings keys: "--node_zone" for the key "node.zone".
#pragma once

#include <string>

#include "cypresswall/settings/settings_source.h"

namespace cypresswall::settings {

/// \return the name of a key's flag, without dashes.
std::string flagName(const std::string& key);
/// Registers the flags of all keys with gflags. Must be called once, before gflags parses the
/// command line.
void registerSettingFlags();
/// \return the values of the flags that were set on the command line, where commas separate the
///   items of a list.
SourceValues settingFlagValues();

}  // namespace cypresswall::settings
