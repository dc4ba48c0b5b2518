/// Reads and writes commands.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/operators/command.h"
#include "cypresswall/operators/lexer.h"

namespace cypresswall::operators {

/// \throws ParseError with the place at fault and the words that could stand there
Command parseCommand(std::string_view text);

/// \return the command's text; parseCommand() reads it back as an equal command.
std::string formatCommand(const Command& command);

/// \return the words that can follow `text`, which ends between two words; empty where a name of
///   the operator's own is expected.
std::vector<std::string> completions(std::string_view text);

}  // namespace cypresswall::operators
