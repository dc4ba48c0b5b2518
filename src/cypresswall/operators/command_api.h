/// The operators' HTTP API: POST /operators/v1/command with a JSON body.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "cypresswall/http/server.h"
#include "cypresswall/operators/command_service.h"

namespace cypresswall::operators {

inline constexpr const char* kCommandPath = "/operators/v1/command";

/// A malformed request body.
class RequestError : public common::Error {
 public:
  using common::Error::Error;
};

nlohmann::json encodeRequest(const CommandRequest& request);
/// Ignores unknown fields.
/// \throws RequestError naming the invalid field
CommandRequest decodeRequest(const std::string& body);

nlohmann::json encodeResponse(const CommandResponse& response);
/// \throws RequestError
CommandResponse decodeResponse(const std::string& body);
int httpStatus(CommandStatus status);

/// \return a handler for paths below /operators/; `service` must outlive it.
http::Handler makeCommandHandler(CommandService& service);

}  // namespace cypresswall::operators
