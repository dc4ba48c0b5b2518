/// Prefix cache of an emulated engine. It holds a limited number of pieces of KV cache, of which
/// the least recently used are evicted, and publishes an event for each change.
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
  /// Time from an event until readers can see it.
  common::Duration delay{0};
  /// Fraction of events that are never published, from 0 to 1.
  double loss = 0;
};

class PrefixCache {
 public:
  /// \param capacity maximum number of cached pieces
  PrefixCache(std::uint32_t capacity, const common::Clock& clock, common::RandomSource& random);

  /// Marks the cached pieces at the start of `pieces`, up to the first one that is not cached, as
  /// recently used.
  /// \return the number of pieces marked
  std::uint32_t touchLongestPrefix(const std::vector<common::PieceHash>& pieces);
  /// Stores pieces and evicts the least recently used ones when the cache is full.
  void store(const std::vector<common::PieceHash>& pieces);
  /// Evicts all pieces and publishes an event for each.
  void clear();
  /// Discards all state, including events and their sequence numbers, as a restart of the engine
  /// does.
  void forget();

  void setEventFaults(const CacheEventFaults& faults) { event_faults_ = faults; }
  /// \return a batch of the events after sequence number `after`, in which only `events` and
  ///   `last_sequence` are set.
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
