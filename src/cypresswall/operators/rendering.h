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

/// \param command shown with a caret under the error if it has a syntax error
/// \return the rendered response, ending with a line break
std::string renderResponse(const CommandResponse& response, const std::string& command,
                           OutputFormat format);

}  // namespace cypresswall::operators
