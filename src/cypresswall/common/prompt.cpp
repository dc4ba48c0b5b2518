#include "cypresswall/common/prompt.h"

#include <xxhash.h>

namespace cypresswall::common {
namespace {

constexpr std::size_t kBytesPerCachePiece =
    static_cast<std::size_t>(kTokensPerCachePiece) * kBytesPerToken;

}  // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::uint32_t PromptShape::tokensOfPieces(std::size_t count) const {
  if (count == 0) {
    return 0;
  }
  return piece_ends.empty() ? static_cast<std::uint32_t>(count) * kTokensPerCachePiece
                            : piece_ends[count - 1];
}

std::size_t PromptShape::sharedPieces() const {
  std::size_t count = pieces.size();
  while (count > 0 && tokensOfPieces(count) >= tokens) {
    --count;
  }
  return count;
}

PromptShape shapeOfPrompt(std::string_view text, std::string_view salt) {
  PromptShape shape;
  shape.tokens = static_cast<std::uint32_t>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
  PieceHash previous = hash64(salt);
  shape.content_hash = hash64(text, previous);
  for (std::size_t start = 0; start + kBytesPerCachePiece <= text.size();
       start += kBytesPerCachePiece) {
    previous = hash64(text.substr(start, kBytesPerCachePiece), previous);
    shape.pieces.push_back(previous);
  }
  return shape;
}

}  // namespace cypresswall::common
