#include "cypresswall/operators/command_api.h"

#include <type_traits>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::operators {
namespace {

using nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;

template <typename Value>
void readField(const json& source, const char* name, Value& value) {
  const auto found = source.find(name);
  if (found == source.end() || found->is_null()) {
    return;
  }
  bool right_type = found->is_string();
  if constexpr (std::is_same_v<Value, bool>) {
    right_type = found->is_boolean();
  } else if constexpr (std::is_arithmetic_v<Value>) {
    right_type = found->is_number_unsigned();
  }
  if (!right_type) {
    throw RequestError(std::string("field ") + name + " has the wrong type");
  }
  value = found->get<Value>();
}

json parseObject(const std::string& body) {
  try {
    common::BoundedJson source = common::parseBoundedJson(body);
    if (source.value.is_object() && !source.repaired()) {
      return std::move(source.value);
    }
  } catch (const common::JsonError&) {
    // Reported below.
  }
  throw RequestError("the body must be a JSON object");
}

json encodeCell(const Cell& cell) {
  return std::visit([](const auto& value) { return json(value); }, cell);
}

Cell decodeCell(const json& source) {
  if (source.is_boolean()) {
    return source.get<bool>();
  }
  if (source.is_number_integer()) {
    return source.get<std::int64_t>();
  }
  if (source.is_number()) {
    return source.get<double>();
  }
  return source.is_string() ? Cell{source.get<std::string>()} : Cell{source.dump()};
}

json encodeZones(const std::vector<ZoneProgress>& zones) {
  json list = json::array();
  for (const ZoneProgress& zone : zones) {
    list.push_back({{"zone", zone.zone}, {"in_force", zone.in_force}, {"heard", zone.heard}});
  }
  return list;
}

CommandStatus parseStatus(const std::string& text) {
  for (int value = 0; value <= static_cast<int>(CommandStatus::kNotReady); ++value) {
    const auto status = static_cast<CommandStatus>(value);
    if (text == toString(status)) {
      return status;
    }
  }
  throw RequestError("unknown status \"" + text + "\"");
}

/// \return the JSON text of `source`. Invalid UTF-8, which commands and files may contain, is
///   replaced.
std::string dump(const json& source) {
  return source.dump(-1, ' ', false, json::error_handler_t::replace);
}

void respond(const std::shared_ptr<http::Responder>& responder, int status, const json& body) {
  responder->respond(status, {{"Content-Type", "application/json"}}, dump(body) + "\n");
}

void respondError(const std::shared_ptr<http::Responder>& responder, int status,
                  const std::string& message) {
  respond(responder, status, {{"status", "refused"}, {"message", message}});
}

}  // namespace

json encodeRequest(const CommandRequest& request) {
  json body{{"command", request.command},
            {"wait", request.wait},
            {"change_id", request.change_id},
            {"author", request.author},
            {"late_delivery", request.late_delivery}};
  if (request.expected_version) {
    body["expect_version"] = *request.expected_version;
  }
  if (!request.file.text.empty()) {
    body["file_name"] = request.file.name;
    body["file"] = request.file.text;
  }
  return body;
}

CommandRequest decodeRequest(const std::string& body) {
  const json source = parseObject(body);
  CommandRequest request;
  if (!source.contains("command")) {
    throw RequestError("field command is required");
  }
  readField(source, "command", request.command);
  readField(source, "file_name", request.file.name);
  readField(source, "file", request.file.text);
  readField(source, "wait", request.wait);
  readField(source, "change_id", request.change_id);
  readField(source, "author", request.author);
  readField(source, "late_delivery", request.late_delivery);
  if (source.contains("expect_version") && !source["expect_version"].is_null()) {
    std::uint64_t version = 0;
    readField(source, "expect_version", version);
    request.expected_version = version;
  }
  return request;
}

json encodeResponse(const CommandResponse& response) {
  json body{{"status", toString(response.status)},
            {"message", response.message},
            {"version", response.version}};
  if (response.status == CommandStatus::kOk) {
    body["columns"] = response.table.columns;
    body["rows"] = json::array();
    for (const auto& row : response.table.rows) {
      json cells = json::array();
      for (const Cell& cell : row) {
        cells.push_back(encodeCell(cell));
      }
      body["rows"].push_back(std::move(cells));
    }
  } else if (response.status == CommandStatus::kParseError) {
    body["position"] = response.position;
    body["length"] = response.length;
    body["suggestion"] = response.suggestion;
  } else {
    body["change_id"] = response.change_id;
    body["zones"] = encodeZones(response.zones);
  }
  return body;
}

CommandResponse decodeResponse(const std::string& body) {
  try {
    const json source = parseObject(body);
    CommandResponse response;
    response.status = parseStatus(source.at("status").get<std::string>());
    response.message = source.value("message", "");
    response.version = common::integerOr(source, "version", 0);
    response.table.columns = source.value("columns", std::vector<std::string>{});
    for (const json& row : source.value("rows", json::array())) {
      auto& cells = response.table.rows.emplace_back();
      for (const json& cell : row) {
        cells.push_back(decodeCell(cell));
      }
    }
    response.position = common::integerOr(source, "position", 0);
    response.length = common::integerOr(source, "length", 0);
    response.suggestion = source.value("suggestion", "");
    response.change_id = source.value("change_id", "");
    for (const json& zone : source.value("zones", json::array())) {
      response.zones.push_back({zone.at("zone").get<std::string>(), zone.at("in_force").get<bool>(),
                                zone.value("heard", true)});
    }
    return response;
  } catch (const json::exception& error) {
    throw RequestError(std::string("the answer can't be read: ") + error.what());
  } catch (const common::JsonError& error) {
    throw RequestError(std::string("the answer can't be read: ") + error.what());
  }
}

int httpStatus(CommandStatus status) {
  switch (status) {
    case CommandStatus::kOk:
    case CommandStatus::kAccepted:
      return 200;
    case CommandStatus::kParseError:
    case CommandStatus::kInvalid:
      return kStatusBadRequest;
    case CommandStatus::kRefused:
    case CommandStatus::kZoneRefused:
      return 422;
    case CommandStatus::kConflict:
      return 409;
    case CommandStatus::kStoreUnavailable:
    case CommandStatus::kNotReady:
      return 503;
    case CommandStatus::kOutcomeUnknown:
      break;
  }
  return 504;
}

http::Handler makeCommandHandler(CommandService& service) {
  return [&service](const http::Request& request,
                    const std::shared_ptr<http::Responder>& responder) {
    if (request.path != kCommandPath) {
      respondError(responder, kStatusNotFound,
                   "no such path; POST to " + std::string(kCommandPath));
      return;
    }
    if (request.method != "POST") {
      respondError(responder, kStatusMethodNotAllowed, "only POST is allowed");
      return;
    }
    try {
      service.execute(decodeRequest(request.body), [responder](const CommandResponse& response) {
        respond(responder, httpStatus(response.status), encodeResponse(response));
      });
    } catch (const RequestError& error) {
      respondError(responder, kStatusBadRequest, error.what());
    }
  };
}

}  // namespace cypresswall::operators
