#include "cypresswall/operators/rendering.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>

#include "cypresswall/operators/command_api.h"

namespace cypresswall::operators {
namespace {

using nlohmann::json;

/// \return the cell as text without control characters, which could form escape sequences that
///   control the operator's terminal.
std::string printable(const Cell& cell) {
  std::string text = cellText(cell);
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; }, ' ');
  return text;
}

void appendLine(std::string& out, const std::vector<std::string>& cells,
                const std::vector<std::size_t>& widths) {
  constexpr std::size_t kGap = 2;
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    line.append(cells[column]);
    line.append(widths[column] + kGap - cells[column].size(), ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out.append(line).append("\n");
}

std::string renderTable(const ResultTable& table) {
  std::vector<std::vector<std::string>> lines = {table.columns};
  for (const auto& row : table.rows) {
    auto& line = lines.emplace_back();
    for (const Cell& cell : row) {
      line.push_back(printable(cell));
    }
    line.resize(table.columns.size());
  }
  std::vector<std::size_t> widths(table.columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  std::string out;
  for (const auto& line : lines) {
    appendLine(out, line, widths);
  }
  return out;
}

std::string renderAccepted(const CommandResponse& response) {
  std::string out = "accepted as version " + std::to_string(response.version);
  if (!response.message.empty()) {
    out.append(" (").append(response.message).append(")");
  }
  out.append("\n");
  for (const ZoneProgress& zone : response.zones) {
    const char* state = zone.in_force ? "in force" : "not yet in force";
    out.append("  ").append(zone.zone).append(": ").append(zone.heard ? state : "not heard of");
    out.append("\n");
  }
  return out;
}

std::string renderText(const CommandResponse& response, const std::string& command) {
  switch (response.status) {
    case CommandStatus::kOk:
      return renderTable(response.table);
    case CommandStatus::kAccepted:
      return renderAccepted(response);
    case CommandStatus::kParseError:
      return renderError(command, response.message, response.position, response.length,
                         response.suggestion) +
             "\n";
    default:
      return std::string(toString(response.status)) + ": " + response.message + "\n";
  }
}

/// Converts the table of a query to a list of objects, one for each row, with the columns as
/// fields. Other responses are encoded like in the HTTP API.
json toObjects(const CommandResponse& response) {
  if (response.status != CommandStatus::kOk) {
    return encodeResponse(response);
  }
  json list = json::array();
  const json encoded = encodeResponse(response);
  for (const json& row : encoded["rows"]) {
    json object = json::object();
    for (std::size_t column = 0; column < row.size(); ++column) {
      object[response.table.columns[column]] = row[column];
    }
    list.push_back(std::move(object));
  }
  return list;
}

void emitYaml(YAML::Emitter& emitter, const json& value) {
  if (value.is_object()) {
    emitter << YAML::BeginMap;
    for (const auto& [key, field] : value.items()) {
      emitter << YAML::Key << key << YAML::Value;
      emitYaml(emitter, field);
    }
    emitter << YAML::EndMap;
  } else if (value.is_array()) {
    emitter << (value.empty() ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
    for (const json& element : value) {
      emitYaml(emitter, element);
    }
    emitter << YAML::EndSeq;
  } else if (value.is_string()) {
    // All strings are quoted. Otherwise a YAML parser would read the version "1" as a number.
    emitter << YAML::DoubleQuoted << value.get<std::string>();
  } else {
    emitter << value.dump();
  }
}

}  // namespace

std::optional<OutputFormat> parseOutputFormat(std::string_view text) {
  if (text == "table") {
    return OutputFormat::kTable;
  }
  if (text == "json") {
    return OutputFormat::kJson;
  }
  if (text == "yaml") {
    return OutputFormat::kYaml;
  }
  return std::nullopt;
}

std::string renderResponse(const CommandResponse& response, const std::string& command,
                           OutputFormat format) {
  if (format == OutputFormat::kTable) {
    return renderText(response, command);
  }
  constexpr int kIndent = 2;
  if (format == OutputFormat::kJson) {
    return toObjects(response).dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
  }
  YAML::Emitter emitter;
  emitYaml(emitter, toObjects(response));
  return std::string(emitter.c_str()) + "\n";
}

}  // namespace cypresswall::operators
