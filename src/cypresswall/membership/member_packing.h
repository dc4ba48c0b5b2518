/// Serialisation of member lists. Addresses and machine names are similar to each other, so the
/// lists are compressed: about 20 bytes per member instead of 80.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cypresswall/membership/messages.h"

namespace cypresswall::membership {

std::string packMembers(const std::vector<MemberRecord>& records);
/// \return nothing if the bytes are not a valid list, or if it is larger than 4 MB uncompressed
std::optional<std::vector<MemberRecord>> unpackMembers(const std::string& packed);

}  // namespace cypresswall::membership
