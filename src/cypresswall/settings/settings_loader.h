/// Builds validated daemon settings from the values of the settings file and the flags.
#pragma once

#include "cypresswall/settings/daemon_settings.h"
#include "cypresswall/settings/settings_source.h"

namespace cypresswall::settings {

/// Applies `values` to the defaults and validates the result.
/// \throws SettingsError with all problems found
DaemonSettings makeSettings(const SourceValues& values);

/// \return the values of both sources; for keys in both, the value of `upper`.
SourceValues merged(SourceValues lower, const SourceValues& upper);

}  // namespace cypresswall::settings
