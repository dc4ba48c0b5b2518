/// Parses and formats commands.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/operators/command.h"
#include "cypresswall/operators/lexer.h"

namespace cypresswall::operators {

/// \throws ParseError with the location of the error and the words that are valid there
Command parseCommand(std::string_view text);

/// \return text that parseCommand() parses to an equal command.
std::string formatCommand(const Command& command);

/// \param text ends at a word boundary
/// \return the words that can follow `text`; empty where a user-defined name is expected.
std::vector<std::string> completions(std::string_view text);

}  // namespace cypresswall::operators
