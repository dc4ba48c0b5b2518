/// Which engines hold which pieces of the KV cache, as far as it is known. Fed by what nodes send
/// to engines, corrected by the engines' cache events, which come late and with gaps. Each engine
/// is taken to give up the pieces unused for longest once its memory is full, as engines do: under
/// load a cache turns over within a second, which is less than events take.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/prompt.h"
#include "cypresswall/common/time.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::routing {

/// Position of an engine in the directory's tables. Stays with an engine's name while the engine
/// is declared; may be given to another engine later.
using EngineSlot = std::uint16_t;
inline constexpr EngineSlot kNoEngineSlot = 0xffff;

/// How many pieces of a prompt, from its start, one engine is believed to hold.
struct PrefixMatch {
  EngineSlot engine = kNoEngineSlot;
  std::uint32_t pieces = 0;
};

class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexSettings& settings) : settings_(settings) {}

  /// Sets the tokens that an engine has memory for; zero if that is not known. Does nothing unless
  /// caches are foretold.
  void setCapacity(EngineSlot engine, std::uint64_t tokens);
  /// Sets the number of engines that share the memory of the index; as many as were ever named
  /// unless this is called.
  void setEngineCount(std::size_t engines) { engine_count_ = engines; }
  /// Notes that `engine` holds `piece`, and that it was used just now.
  /// \param tokens length of the piece; zero takes the length known of it, or the usual one
  void stored(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens,
              common::MonotonicTime now);
  /// Notes that a prompt of this shape was sent to `engine`, which will hold its pieces. Does
  /// nothing unless caches are foretold.
  void expectStored(EngineSlot engine, const common::PromptShape& shape, common::MonotonicTime now);
  /// Notes that a prompt of this shape uses its pieces at `engine`. The start of a prompt outlives
  /// its end.
  void usedBy(EngineSlot engine, const common::PromptShape& shape, common::MonotonicTime now);
  /// Notes that `engine` does not hold `piece`.
  void removed(EngineSlot engine, common::PieceHash piece);
  /// Takes in an event that `engine` gave `piece` up. Where caches are foretold it is passed over
  /// if the piece was used since: events are late. \return true if it changed what is known
  bool evictionReported(EngineSlot engine, common::PieceHash piece, common::MonotonicTime now);
  /// Forgets all that is known of an engine: it restarted, or its slot has another engine.
  void forgetEngine(EngineSlot engine);
  /// Lowers the trust in an engine's entries: events were lost. The entries stay, since most of
  /// them still hold.
  void gapSeen(EngineSlot engine);
  /// Restores a part of the trust: a batch of events came without a gap.
  void batchWithoutGap(EngineSlot engine);
  /// \return the part of matched pieces to count on for this engine, from minimum_trust to 1.
  double trust(EngineSlot engine) const;

  /// Finds the engines that hold the start of a prompt.
  /// \param matches cleared, then filled with the engines that hold at least the first piece
  void match(const std::vector<common::PieceHash>& pieces, std::vector<PrefixMatch>& matches) const;

  /// \return pairs of an engine and a piece that are remembered.
  std::size_t size() const { return size_; }

 private:
  using Words = std::vector<std::uint64_t>;

  /// One piece at one engine.
  struct HeldPiece {
    common::PieceHash piece = 0;
    std::uint32_t tokens = 0;
    common::MonotonicTime used_at{};
  };
  struct Engine {
    /// The most recently used first.
    std::list<HeldPiece> held;
    std::unordered_map<common::PieceHash, std::list<HeldPiece>::iterator> by_piece;
    std::uint64_t tokens = 0;
    std::uint64_t capacity = 0;
    double trust = 1.0;
  };
  struct Piece {
    std::uint32_t tokens = 0;
    std::uint32_t holders = 0;
    /// One bit an engine.
    Words engines;
  };

  Engine& engineAt(EngineSlot engine);
  std::uint32_t tokensOf(common::PieceHash piece, std::uint32_t reported) const;
  void addHolder(EngineSlot engine, common::PieceHash piece, std::uint32_t tokens);
  void removeHolder(EngineSlot engine, common::PieceHash piece);
  void erase(EngineSlot slot, std::list<HeldPiece>::iterator held);
  /// Gives up what was unused for longest until the engine's memory suffices.
  void evictToCapacity(EngineSlot slot);

  PrefixIndexSettings settings_;
  std::vector<Engine> engines_;
  std::unordered_map<common::PieceHash, Piece> pieces_;
  std::size_t size_ = 0;
  std::size_t engine_count_ = 0;
};

}  // namespace cypresswall::routing
