/// Reason phrases of HTTP status codes.
#pragma once

#include <string>

namespace cypresswall::http {

/// \return the standard phrase, or "Unknown".
std::string statusText(int status);

}  // namespace cypresswall::http
