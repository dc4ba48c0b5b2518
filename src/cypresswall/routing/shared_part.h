/// Determines the shared part of a prompt: the prefix that other prompts may have in common.
/// Prompts with the same shared part are preferably routed to the same engine, to reuse its cache.
#pragma once

#include <cstddef>

#include "cypresswall/common/prompt.h"

namespace cypresswall::routing {

/// \return the number of leading pieces that form the shared part; zero if they have too few tokens
///   to matter. If the caller marked the parts of the prompt, the shared part is the longest prefix
///   that other prompts may share. Otherwise it is the first piece, since it is unknown where the
///   shared part ends.
std::size_t affinityPieces(const common::PromptShape& shape);

/// \return the hash of the last piece of the shared part; zero if there is no shared part
common::PieceHash sharedPartOf(const common::PromptShape& shape);

}  // namespace cypresswall::routing
