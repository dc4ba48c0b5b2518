/// The server's own answers to requests that never reach a handler.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/http/server.h"

namespace cypresswall::http {

/// A connection's error as RESTinio reports it by a log message.
struct LibraryFault {
  std::uint64_t connection = 0;
  /// Status of the answer that fits.
  int status = 400;
  std::string reason;
};

/// Reads "[connection:N] parser error ...". \return nothing for other messages
std::optional<LibraryFault> parseLibraryError(const std::string& message);

/// \return the JSON error object, in the shape that OpenAI clients know.
std::string rejectionBody(const std::string& reason);

/// \return a whole HTTP answer that ends the connection.
std::string rejectionAnswer(int status, const std::string& reason,
                            const std::vector<Header>& headers);

}  // namespace cypresswall::http
