/// Prompts as routing and engines see them: a length in tokens and the chained hashes of the
/// pieces in which engines hold the KV cache.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace cypresswall::common {

/// Tokens in one piece of an engine's KV cache. The users say "pieces of about 2,000"; read as
/// tokens per piece (docs/glossary.md).
inline constexpr std::uint32_t kTokensPerCachePiece = 2000;
/// Bytes of text counted as one token. No tokenizer is part of the system; the estimate only has
/// to be the same in the router and in the emulated engine.
inline constexpr std::uint32_t kBytesPerToken = 4;

/// Hash of one cache piece, chained with all pieces before it: equal hashes mean equal prefixes.
using PieceHash = std::uint64_t;

/// What has to be known of a prompt to route it and to emulate its execution.
struct PromptShape {
  std::uint32_t tokens = 0;
  /// One hash for each whole piece, in order; a last part of a piece is not cached.
  std::vector<PieceHash> pieces;
  /// Tokens of the prompt up to the end of each piece, rising; empty if each piece has
  /// kTokensPerCachePiece. Filled where callers name the parts of their prompts themselves.
  std::vector<std::uint32_t> piece_ends;
  /// Hash of the whole text; decides the emulated answer.
  std::uint64_t content_hash = 0;

  /// \return the tokens of the first `count` pieces
  std::uint32_t tokensOfPieces(std::size_t count) const;
  /// \return the number of pieces that end before the prompt does: others may share these
  std::size_t sharedPieces() const;
};

/// Measures `text` for a model. `salt` keeps the pieces of different models, versions and adapters
/// apart ("model/version/adapter").
PromptShape shapeOfPrompt(std::string_view text, std::string_view salt);

/// \return xxHash64 of `data` with `seed`; the project's one hash for rendezvous and digests.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace cypresswall::common
