/// Selects the prompt prefix that keys affinity: prompts with the same prefix are routed to the
/// same engine, to reuse its cache.
#pragma once

#include <cstddef>

#include "cypresswall/common/prompt.h"

namespace cypresswall::routing {

/// \return the number of leading pieces that key affinity, zero if they are too short to matter. If
///   callers mark the parts of their prompts, this is the longest prefix that others may share;
///   otherwise one piece, since it is unknown where the shared part ends.
std::size_t affinityPieces(const common::PromptShape& shape);

/// \return the hash of the last of these pieces; zero if there is none
common::PieceHash sharedPartOf(const common::PromptShape& shape);

}  // namespace cypresswall::routing
