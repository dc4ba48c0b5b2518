/// Blocking HTTP POST to a daemon's operator API, using libcurl.
#pragma once

#include <string>

#include "cypresswall/operators/command_client.h"

namespace cypresswall::cypressctl {

/// Sends `body` to the command path of `server` ("IP:port"). A response that is not whole gives
/// kUnknown.
operators::PostAnswer postCommand(const common::Address& server, const std::string& body,
                                  common::Duration time_limit);

}  // namespace cypresswall::cypressctl
