/// Which node of a zone watches which engine: rendezvous hashing, so that every node finds the same
/// answer alone, and a change of members moves only the engines of the member that changed.
#pragma once

#include <string_view>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::routing {

/// \return the member among `members` that watches `engine`; empty if no member is alive. Members
///   that are suspected or leaving watch nothing.
common::NodeId watcherOf(std::string_view engine, const std::vector<membership::Member>& members);

}  // namespace cypresswall::routing
