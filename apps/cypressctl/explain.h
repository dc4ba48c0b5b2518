/// The command `explain LOGFILES... --request ID`, which reads log files and needs no daemon.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/operators/command_client.h"

namespace cypresswall::cypressctl {

/// Prints the time line of the request on standard output, and the number of unreadable lines of
/// each log on standard error.
/// \return kRefused if no log names the request, kUsage if a log can't be read
operators::ExitCode explain(const std::vector<std::string>& logs, const std::string& request);

}  // namespace cypresswall::cypressctl
