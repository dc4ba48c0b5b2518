/// Approximate index of which engines hold which pieces of the KV cache. Fed by cache events (late,
/// with gaps), by hints of peers and by what this node itself sent. Bounded: a set-associative
/// table of fixed size in which the least recently used piece of a set is replaced.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cypresswall/common/prompt.h"
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
  explicit PrefixIndex(const PrefixIndexSettings& settings);

  /// Notes that `engine` holds `piece`.
  void stored(EngineSlot engine, common::PieceHash piece);
  /// Notes that `engine` no longer holds `piece`.
  /// \return true if it was believed to
  bool evicted(EngineSlot engine, common::PieceHash piece);
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
  void match(const std::vector<common::PieceHash>& pieces, std::vector<PrefixMatch>& matches);

  /// \return the bytes that the table takes.
  std::size_t memoryBytes() const { return ways_.size() * sizeof(Way); }

 private:
  static constexpr std::size_t kWaysPerSet = 8;
  static constexpr std::size_t kHoldersPerPiece = 6;

  /// An engine in one of its lives; entries of earlier lives don't count.
  struct Holder {
    EngineSlot engine = kNoEngineSlot;
    std::uint16_t life = 0;
  };
  struct Way {
    std::uint32_t key = 0;
    /// Zero marks a free way.
    std::uint32_t last_used = 0;
    std::array<Holder, kHoldersPerPiece> holders;
  };
  struct EngineKnowledge {
    std::uint16_t life = 1;
    double trust = 1.0;
  };

  Way* find(common::PieceHash piece);
  Way& findOrReplace(common::PieceHash piece);
  std::size_t setStart(common::PieceHash piece) const;
  bool current(const Holder& holder) const;
  EngineKnowledge& knowledge(EngineSlot engine);

  PrefixIndexSettings settings_;
  std::vector<Way> ways_;
  std::uint64_t set_mask_ = 0;
  std::uint32_t use_count_ = 0;
  std::vector<EngineKnowledge> engines_;
};

}  // namespace cypresswall::routing
