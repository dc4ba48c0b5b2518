#include "cypresswall/routing/prefix_index.h"

#include <algorithm>
#include <bit>

namespace cypresswall::routing {
namespace {

constexpr std::size_t kBitsPerWord = 64;

std::uint64_t bitOf(EngineSlot engine) { return std::uint64_t{1} << (engine % kBitsPerWord); }

}  // namespace

PrefixIndex::Engine& PrefixIndex::engineAt(EngineSlot engine) {
  if (engine >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(engine) + 1);
  }
  return engines_[engine];
}

void PrefixIndex::setCapacity(EngineSlot engine, std::uint64_t tokens) {
  if (!settings_.predicts_unreported) {
    return;
  }
  engineAt(engine).capacity = tokens;
  evictToCapacity(engine);
}

std::uint32_t PrefixIndex::tokensOf(common::PieceHash piece, std::uint32_t reported) const {
  if (reported > 0) {
    return reported;
  }
  const auto known = pieces_.find(piece);
  return known == pieces_.end() ? common::kTokensPerCachePiece : known->second.tokens;
}

void PrefixIndex::addHolder(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens) {
  Piece& entry = pieces_[piece];
  entry.tokens = tokens;
  ++entry.holders;
  const std::size_t word = engine / kBitsPerWord;
  if (entry.engines.size() <= word) {
    entry.engines.resize(word + 1);
  }
  entry.engines[word] |= bitOf(engine);
  ++size_;
}

void PrefixIndex::removeHolder(EngineSlot engine, common::PieceHash piece) {
  const auto entry = pieces_.find(piece);
  entry->second.engines[engine / kBitsPerWord] &= ~bitOf(engine);
  --size_;
  if (--entry->second.holders == 0) {
    pieces_.erase(entry);
  }
}

void PrefixIndex::erase(EngineSlot slot, std::list<HeldPiece>::iterator held) {
  Engine& engine = engines_[slot];
  engine.tokens -= held->tokens;
  removeHolder(slot, held->piece);
  engine.by_piece.erase(held->piece);
  engine.held.erase(held);
}

void PrefixIndex::evictToCapacity(EngineSlot slot) {
  Engine& engine = engines_[slot];
  const std::size_t engine_count = engine_count_ == 0 ? engines_.size() : engine_count_;
  const std::size_t limit = std::max<std::size_t>(1, settings_.maximum_pieces / engine_count);
  const auto full = [&] {
    return engine.held.size() > limit || (engine.capacity > 0 && engine.tokens > engine.capacity);
  };
  while (engine.held.size() > 1 && full()) {
    erase(slot, std::prev(engine.held.end()));
  }
}

void PrefixIndex::stored(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens,
                         common::MonotonicTime now) {
  Engine& state = engineAt(engine);
  const auto known = state.by_piece.find(piece);
  if (known != state.by_piece.end()) {
    known->second->used_at = now;
    state.held.splice(state.held.begin(), state.held, known->second);
    return;
  }
  const std::uint32_t length = tokensOf(piece, tokens);
  state.held.push_front({piece, length, now});
  state.by_piece[piece] = state.held.begin();
  state.tokens += length;
  addHolder(engine, piece, length);
  evictToCapacity(engine);
}

void PrefixIndex::expectStored(EngineSlot engine, const common::PromptShape& shape,
                               common::MonotonicTime now) {
  if (settings_.predicts_unreported) {
    usedBy(engine, shape, now);
  }
}

void PrefixIndex::usedBy(EngineSlot engine, const common::PromptShape& shape,
                         common::MonotonicTime now) {
  for (std::size_t i = shape.pieces.size(); i-- > 0;) {
    stored(engine, shape.pieces[i], shape.tokensOfPieces(i + 1) - shape.tokensOfPieces(i), now);
  }
}

void PrefixIndex::removed(EngineSlot engine, common::PieceHash piece) {
  Engine& state = engineAt(engine);
  const auto known = state.by_piece.find(piece);
  if (known != state.by_piece.end()) {
    erase(engine, known->second);
  }
}

bool PrefixIndex::evictionReported(EngineSlot engine, common::PieceHash piece,
                                   common::MonotonicTime now) {
  Engine& state = engineAt(engine);
  const auto known = state.by_piece.find(piece);
  if (known == state.by_piece.end()) {
    return false;
  }
  const bool stale = now - known->second->used_at < settings_.event_lag;
  if (settings_.predicts_unreported && stale) {
    return false;
  }
  erase(engine, known->second);
  return true;
}

void PrefixIndex::forgetEngine(EngineSlot engine) {
  Engine& state = engineAt(engine);
  while (!state.held.empty()) {
    erase(engine, state.held.begin());
  }
  state.trust = 1.0;
}

void PrefixIndex::gapSeen(EngineSlot engine) {
  Engine& state = engineAt(engine);
  state.trust = std::max(settings_.minimum_trust, state.trust * settings_.gap_trust_factor);
}

void PrefixIndex::batchWithoutGap(EngineSlot engine) {
  Engine& state = engineAt(engine);
  state.trust += (1.0 - state.trust) * settings_.trust_recovery;
}

double PrefixIndex::trust(EngineSlot engine) const {
  return engine < engines_.size() ? engines_[engine].trust : 1.0;
}

void PrefixIndex::match(const std::vector<common::PieceHash>& pieces,
                        std::vector<PrefixMatch>& matches) const {
  matches.clear();
  std::uint32_t depth = 0;
  for (const common::PieceHash piece : pieces) {
    const auto found = pieces_.find(piece);
    if (found == pieces_.end()) {
      return;
    }
    const Words& engines = found->second.engines;
    if (depth == 0) {
      for (std::size_t word = 0; word < engines.size(); ++word) {
        for (std::uint64_t left = engines[word]; left != 0; left &= left - 1) {
          const auto bit = static_cast<std::size_t>(std::countr_zero(left));
          matches.push_back({static_cast<EngineSlot>(word * kBitsPerWord + bit), 1});
        }
      }
    } else {
      for (PrefixMatch& match : matches) {
        const std::size_t word = match.engine / kBitsPerWord;
        const bool holds = word < engines.size() && (engines[word] & bitOf(match.engine)) != 0;
        match.pieces += match.pieces == depth && holds ? 1 : 0;
      }
    }
    ++depth;
  }
}

}  // namespace cypresswall::routing
