#include "cypresswall/routing/prefix_index.h"

#include <algorithm>
#include <bit>

namespace cypresswall::routing {
namespace {

/// The low half of a hash picks the set, the high half is kept as the key.
constexpr unsigned kKeyShift = 32;

std::uint32_t keyOf(common::PieceHash piece) {
  return static_cast<std::uint32_t>(piece >> kKeyShift);
}

}  // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings& settings) : settings_(settings) {
  const std::size_t pieces =
      std::bit_ceil(std::max<std::size_t>(settings.maximum_pieces, kWaysPerSet));
  ways_.resize(pieces);
  set_mask_ = pieces / kWaysPerSet - 1;
}

std::size_t PrefixIndex::setStart(common::PieceHash piece) const {
  return (piece & set_mask_) * kWaysPerSet;
}

PrefixIndex::Way* PrefixIndex::find(common::PieceHash piece) {
  const std::size_t start = setStart(piece);
  const std::uint32_t key = keyOf(piece);
  for (std::size_t i = start; i < start + kWaysPerSet; ++i) {
    if (ways_[i].last_used != 0 && ways_[i].key == key) {
      return &ways_[i];
    }
  }
  return nullptr;
}

PrefixIndex::Way& PrefixIndex::findOrReplace(common::PieceHash piece) {
  if (Way* way = find(piece)) {
    return *way;
  }
  const auto first = ways_.begin() + static_cast<std::ptrdiff_t>(setStart(piece));
  const auto oldest = std::min_element(
      first, first + kWaysPerSet,
      [](const Way& left, const Way& right) { return left.last_used < right.last_used; });
  *oldest = Way{};
  oldest->key = keyOf(piece);
  return *oldest;
}

PrefixIndex::EngineKnowledge& PrefixIndex::knowledge(EngineSlot engine) {
  if (engine >= engines_.size()) {
    engines_.resize(static_cast<std::size_t>(engine) + 1);
  }
  return engines_[engine];
}

bool PrefixIndex::current(const Holder& holder) const {
  return holder.engine < engines_.size() && engines_[holder.engine].life == holder.life;
}

void PrefixIndex::stored(EngineSlot engine, common::PieceHash piece) {
  const std::uint16_t life = knowledge(engine).life;
  Way& way = findOrReplace(piece);
  way.last_used = ++use_count_;
  Holder* free_place = nullptr;
  for (Holder& holder : way.holders) {
    if (holder.engine == engine) {
      holder.life = life;
      return;
    }
    if (free_place == nullptr && !current(holder)) {
      free_place = &holder;
    }
  }
  if (free_place == nullptr) {
    std::rotate(way.holders.begin(), way.holders.begin() + 1, way.holders.end());
    free_place = &way.holders.back();
  }
  *free_place = Holder{engine, life};
}

bool PrefixIndex::evicted(EngineSlot engine, common::PieceHash piece) {
  Way* way = find(piece);
  if (way == nullptr) {
    return false;
  }
  bool held = false;
  for (Holder& holder : way->holders) {
    if (holder.engine == engine) {
      held = held || current(holder);
      holder = Holder{};
    }
  }
  return held;
}

void PrefixIndex::forgetEngine(EngineSlot engine) {
  EngineKnowledge& known = knowledge(engine);
  ++known.life;
  known.trust = 1.0;
}

void PrefixIndex::gapSeen(EngineSlot engine) {
  EngineKnowledge& known = knowledge(engine);
  known.trust = std::max(settings_.minimum_trust, known.trust * settings_.gap_trust_factor);
}

void PrefixIndex::batchWithoutGap(EngineSlot engine) {
  EngineKnowledge& known = knowledge(engine);
  known.trust += (1.0 - known.trust) * settings_.trust_recovery;
}

double PrefixIndex::trust(EngineSlot engine) const {
  return engine < engines_.size() ? engines_[engine].trust : 1.0;
}

void PrefixIndex::match(const std::vector<common::PieceHash>& pieces,
                        std::vector<PrefixMatch>& matches) {
  matches.clear();
  std::uint32_t depth = 0;
  for (const common::PieceHash piece : pieces) {
    Way* way = find(piece);
    if (way == nullptr) {
      return;
    }
    way->last_used = ++use_count_;
    bool extended = false;
    for (const Holder& holder : way->holders) {
      if (!current(holder)) {
        continue;
      }
      if (depth == 0) {
        matches.push_back({holder.engine, 1});
        extended = true;
        continue;
      }
      for (PrefixMatch& match : matches) {
        if (match.engine == holder.engine && match.pieces == depth) {
          match.pieces = depth + 1;
          extended = true;
        }
      }
    }
    if (!extended) {
      return;
    }
    ++depth;
  }
}

}  // namespace cypresswall::routing
