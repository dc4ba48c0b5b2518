/// Prompts as seen by routing and engines: the length in tokens and the chained hashes of the
/// KV-cache pieces (blocks of the prompt, normally of fixed size, that engines cache).
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace cypresswall::common {

/// Tokens in one piece of an engine's KV cache. The requirements say "pieces of about 2,000", which
/// is taken to mean tokens (docs/glossary.md).
inline constexpr std::uint32_t kTokensPerCachePiece = 2000;
/// Bytes of text counted as one token. The system has no tokenizer; the estimate only has to be the
/// same in the router and in the emulated engine.
inline constexpr std::uint32_t kBytesPerToken = 4;

/// Hash of a cache piece, chained with all preceding pieces: equal hashes mean equal prefixes.
using PieceHash = std::uint64_t;

/// The properties of a prompt that routing and emulated execution need.
struct PromptShape {
  std::uint32_t tokens = 0;
  /// One hash per complete piece, in order; a trailing partial piece is not cached.
  std::vector<PieceHash> pieces;
  /// Cumulative token count at the end of each piece, increasing. Set only if the caller divides
  /// its prompt into pieces itself; if empty, every piece has kTokensPerCachePiece tokens.
  std::vector<std::uint32_t> piece_ends;
  /// Hash of the whole text; determines the emulated answer.
  std::uint64_t content_hash = 0;

  /// \return the tokens of the first `count` pieces
  std::uint32_t tokensOfPieces(std::size_t count) const;
  /// \return the number of pieces that end before the prompt does; only these pieces can be shared
  /// with other prompts
  std::size_t sharedPieces() const;
};

/// Computes the shape of `text` for a model. `salt` ("model/version/adapter") gives different
/// models, versions and adapters different piece hashes.
PromptShape shapeOfPrompt(std::string_view text, std::string_view salt);

/// \return xxHash64 of `data` with `seed`; used for rendezvous hashing and digests.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace cypresswall::common
