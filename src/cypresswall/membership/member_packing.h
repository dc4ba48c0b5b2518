/// Lists of members as bytes. They name addresses and machines that are much alike, so they are
/// compressed: some 20 bytes a member instead of 80.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cypresswall/membership/messages.h"

namespace cypresswall::membership {

std::string packMembers(const std::vector<MemberRecord>& records);
/// \return nothing if the bytes are no such list, or one of more than 4 MB
std::optional<std::vector<MemberRecord>> unpackMembers(const std::string& packed);

}  // namespace cypresswall::membership
