/// Renders responses as a table, JSON or YAML.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cypresswall/operators/command_service.h"

namespace cypresswall::operators {

enum class OutputFormat { kTable, kJson, kYaml };

/// Parses "table", "json" or "yaml".
std::optional<OutputFormat> parseOutputFormat(std::string_view text);

/// \param command text of the command; if it has a syntax error, it is shown with a caret under the
///   error
/// \return the rendered response, ending with a line break
std::string renderResponse(const CommandResponse& response, const std::string& command,
                           OutputFormat format);

}  // namespace cypresswall::operators
