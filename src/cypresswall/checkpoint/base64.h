/// Base64 (RFC 4648, with padding), for bytes in JSON text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cypresswall::checkpoint {

std::string encodeBase64(std::string_view bytes);
/// \return nothing if `text` is not valid
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace cypresswall::checkpoint
