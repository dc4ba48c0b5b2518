/// Interactive mode: a prompt with history and completion.
#pragma once

#include <functional>
#include <string>

namespace cypresswall::cypressctl {

/// Reads commands until end of input, "exit" or "quit", and passes each to `run`.
void runConsole(const std::function<void(const std::string& command)>& run);

}  // namespace cypresswall::cypressctl
