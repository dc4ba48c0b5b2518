/// Shows answers to people and programs.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/operators/command_service.h"

namespace cypresswall::operators {

enum class OutputFormat { kTable, kJson, kYaml };

/// Reads "table", "json" or "yaml".
std::optional<OutputFormat> parseOutputFormat(std::string_view text);

/// \param command for the caret under the word at fault
/// \return the answer, ending with a line break
std::string renderResponse(const CommandResponse& response, const std::string& command,
                           OutputFormat format);

}  // namespace cypresswall::operators
