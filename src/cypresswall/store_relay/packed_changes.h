/// Compressed form of a list of changes, for copies of all objects of a topic.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cypresswall/store_relay/messages.h"

namespace cypresswall::store_relay {

/// Maximum size of the changes after unpacking, in bytes.
inline constexpr std::size_t kMaximumUnpackedBytes = std::size_t{64} << 20;

/// \throws std::bad_alloc
std::string packChanges(const std::vector<StoreChange>& changes);
/// \return nothing if `packed` is malformed or too large
std::optional<std::vector<StoreChange>> unpackChanges(const std::string& packed);

}  // namespace cypresswall::store_relay
