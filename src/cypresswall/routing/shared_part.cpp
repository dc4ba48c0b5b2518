#include "cypresswall/routing/shared_part.h"

#include <algorithm>

namespace cypresswall::routing {
namespace {

/// Shared prefixes with fewer tokens are ignored, since little computation is saved by routing
/// prompts with them to the same engine.
constexpr std::uint32_t kMinimumAffinityTokens = 1024;

}  // namespace

std::size_t affinityPieces(const common::PromptShape& shape) {
  const std::size_t pieces = shape.piece_ends.empty()
                                 ? std::min<std::size_t>(shape.pieces.size(), 1)
                                 : shape.sharedPieces();
  return shape.tokensOfPieces(pieces) < kMinimumAffinityTokens ? 0 : pieces;
}

common::PieceHash sharedPartOf(const common::PromptShape& shape) {
  const std::size_t pieces = affinityPieces(shape);
  return pieces == 0 ? 0 : shape.pieces[pieces - 1];
}

}  // namespace cypresswall::routing
