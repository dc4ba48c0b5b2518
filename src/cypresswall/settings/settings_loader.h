/// Makes checked settings of the daemon from the values of a file and of flags.
#pragma once

#include "cypresswall/settings/daemon_settings.h"
#include "cypresswall/settings/settings_source.h"

namespace cypresswall::settings {

/// Applies `values` over the defaults and checks everything.
/// \throws SettingsError with all problems found
DaemonSettings makeSettings(const SourceValues& values);

/// \return `lower` with the values of `upper` put over it.
SourceValues merged(SourceValues lower, const SourceValues& upper);

}  // namespace cypresswall::settings
