/// Tracks which engines are believed to hold which KV cache pieces. Updated from the prompts that
/// nodes send to engines, and corrected by the engines' cache events, which are delayed and may
/// have gaps. Eviction is predicted by assuming that a full engine evicts its least recently used
/// pieces: under load, the whole content of a cache may be replaced within a second, and events are
/// too slow to follow that.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/prompt.h"
#include "cypresswall/common/time.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Index of an engine in the directory's tables. Fixed while the engine is declared; may be reused
/// for another engine later.
using EngineSlot = std::uint16_t;
inline constexpr EngineSlot kNoEngineSlot = 0xffff;

/// Number of leading pieces of a prompt that an engine is believed to hold.
struct PrefixMatch {
  EngineSlot engine = kNoEngineSlot;
  std::uint32_t pieces = 0;
};

class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexSettings& settings) : settings_(settings) {}

  /// Sets an engine's cache capacity in tokens; zero if unknown. Does nothing unless cache contents
  /// are predicted.
  void setCapacity(EngineSlot engine, std::uint64_t tokens);
  /// Sets the number of engines among which PrefixIndexSettings::maximum_pieces is divided. If it
  /// is not set or zero, the highest slot ever recorded determines the number.
  void setEngineCount(std::size_t engines) { engine_count_ = engines; }
  /// Records that `engine` holds `piece` and used it at `now`.
  /// \param tokens length of the piece; zero selects its known length, or else the default one
  void stored(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens,
              common::MonotonicTime now);
  /// Records that a prompt of this shape was sent to `engine`, which will hold its pieces. Does
  /// nothing unless cache contents are predicted.
  void expectStored(EngineSlot engine, const common::PromptShape& shape, common::MonotonicTime now);
  /// Records that a prompt of this shape uses its pieces at `engine`. The last pieces of a prompt
  /// are evicted before the first ones.
  void usedBy(EngineSlot engine, const common::PromptShape& shape, common::MonotonicTime now);
  /// Records that `engine` does not hold `piece`.
  void removed(EngineSlot engine, common::PieceHash piece);
  /// Processes an event that `engine` evicted `piece`. If cache contents are predicted, the event
  /// is ignored when the piece was used recently, because events are delayed.
  /// \return true if the index changed
  bool evictionReported(EngineSlot engine, common::PieceHash piece, common::MonotonicTime now);
  /// Drops all pieces of an engine that restarted or whose slot was reassigned.
  void forgetEngine(EngineSlot engine);
  /// Lowers the trust in an engine's entries (see trust()) because events were lost. The entries
  /// are kept, since most of them are still valid.
  void gapSeen(EngineSlot engine);
  /// Restores part of the trust after a batch of events without a gap.
  void batchWithoutGap(EngineSlot engine);
  /// \return the fraction of matched tokens that the engine is assumed to hold, from
  ///   PrefixIndexSettings::minimum_trust to 1.
  double trust(EngineSlot engine) const;

  /// Finds the engines that hold the start of a prompt.
  /// \param matches cleared, then filled with the engines that hold at least the first piece
  void match(const std::vector<common::PieceHash>& pieces, std::vector<PrefixMatch>& matches) const;

  /// \return number of recorded pairs of an engine and a piece.
  std::size_t size() const { return size_; }

 private:
  using Words = std::vector<std::uint64_t>;

  /// A piece held by an engine.
  struct HeldPiece {
    common::PieceHash piece = 0;
    std::uint32_t tokens = 0;
    common::MonotonicTime used_at{};
  };
  struct Engine {
    /// In LRU order, most recently used first.
    std::list<HeldPiece> held;
    std::unordered_map<common::PieceHash, std::list<HeldPiece>::iterator> by_piece;
    std::uint64_t tokens = 0;
    std::uint64_t capacity = 0;
    double trust = 1.0;
  };
  struct Piece {
    std::uint32_t tokens = 0;
    std::uint32_t holders = 0;
    /// Bit set indexed by engine slot.
    Words engines;
  };

  Engine& engineAt(EngineSlot engine);
  std::uint32_t tokensOf(common::PieceHash piece, std::uint32_t reported) const;
  void addHolder(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens);
  void removeHolder(EngineSlot engine, common::PieceHash piece);
  void erase(EngineSlot slot, std::list<HeldPiece>::iterator held);
  /// Evicts least recently used pieces until the engine is within its capacity.
  void evictToCapacity(EngineSlot slot);

  PrefixIndexSettings settings_;
  std::vector<Engine> engines_;
  std::unordered_map<common::PieceHash, Piece> pieces_;
  std::size_t size_ = 0;
  std::size_t engine_count_ = 0;
};

}  // namespace cypresswall::routing
