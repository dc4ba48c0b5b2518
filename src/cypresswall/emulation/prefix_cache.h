/// Bounded prefix cache of an emulated engine: pieces of KV cache with LRU eviction, and the cache
/// events that the engine publishes.
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

/// Faults in the delivery of cache events to readers.
struct CacheEventFaults {
  /// Time until an event becomes readable.
  common::Duration delay{0};
  /// Fraction of events that are never published, 0 to 1.
  double loss = 0;
};

class PrefixCache {
 public:
  /// \param capacity number of pieces
  PrefixCache(std::uint32_t capacity, const common::Clock& clock, common::RandomSource& random);

  /// Counts the leading pieces that are cached and marks them as recently used.
  std::uint32_t touchLongestPrefix(const std::vector<common::PieceHash>& pieces);
  /// Stores pieces and evicts the least recently used ones when the cache is full.
  void store(const std::vector<common::PieceHash>& pieces);
  /// Evicts all pieces and publishes the events.
  void clear();
  /// Discards all state, including events and their sequence numbers, like a process restart.
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
