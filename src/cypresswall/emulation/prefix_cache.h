/// The limited prefix cache of an emulated engine: pieces of KV cache, evicted least recently used
/// first, with the events that the engine publishes about them.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/prompt.h"
#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// How the engine's cache events reach a reader.
struct CacheEventFaults {
  /// An event can be read only this long after it was made.
  common::Duration delay{0};
  /// Share of events that are never published, 0 to 1.
  double loss = 0;
};

class PrefixCache {
 public:
  /// \param capacity number of pieces
  PrefixCache(std::uint32_t capacity, const common::Clock& clock, common::RandomSource& random);

  /// Counts the leading pieces that are cached and marks them as used.
  std::uint32_t touchLongestPrefix(const std::vector<common::PieceHash>& pieces);
  /// Stores pieces, evicting others when full.
  void store(const std::vector<common::PieceHash>& pieces);
  /// Evicts everything, with events.
  void clear();
  /// Forgets everything, events and their numbers included, as a restarted process does.
  void forget();

  void setEventFaults(const CacheEventFaults& faults) { event_faults_ = faults; }
  /// Fills in `events` and `last_sequence` of a batch after sequence number `after`.
  engines::CacheEvents eventsAfter(std::uint64_t after) const;

  std::uint32_t size() const { return static_cast<std::uint32_t>(entries_.size()); }
  std::uint32_t capacity() const { return capacity_; }
  bool contains(common::PieceHash piece) const { return entries_.count(piece) != 0; }

 private:
  struct PublishedEvent {
    common::MonotonicTime made_at;
    engines::CacheEvent event;
  };

  void evictOldest();
  void publish(engines::CacheEventKind kind, common::PieceHash piece);

  std::uint32_t capacity_;
  const common::Clock& clock_;
  common::RandomSource& random_;
  CacheEventFaults event_faults_;
  /// Most recently used first.
  std::list<common::PieceHash> recency_;
  std::unordered_map<common::PieceHash, std::list<common::PieceHash>::iterator> entries_;
  std::deque<PublishedEvent> published_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace cypresswall::emulation
