/// The part of a prompt by which equal prompts meet on one engine.
#pragma once

#include <cstddef>

#include "cypresswall/common/prompt.h"

namespace cypresswall::routing {

/// \return the number of pieces by whose last one equal prompts meet, zero if they needn't. Where
///   callers name the parts of their prompts, that is the longest prefix that others may share;
///   otherwise one piece, since nobody knows which of the rest is the prompt's own.
std::size_t affinityPieces(const common::PromptShape& shape);

/// \return the hash of the last of these pieces, zero if there is none
common::PieceHash sharedPartOf(const common::PromptShape& shape);

}  // namespace cypresswall::routing
