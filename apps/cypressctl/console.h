/// Interactive mode: a prompt with history and completion.
#pragma once

#include <functional>
#include <string>

namespace cypresswall::cypressctl {

/// Reads commands from the terminal until the end of the input, "exit" or "quit", and passes each
/// command to `run`.
void runConsole(const std::function<void(const std::string& command)>& run);

}  // namespace cypresswall::cypressctl
