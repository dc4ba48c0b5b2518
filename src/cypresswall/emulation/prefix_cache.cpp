#include "cypresswall/emulation/prefix_cache.h"

#include <algorithm>

namespace cypresswall::emulation {
namespace {

/// Number of events retained for readers. A reader that lags by more events sees a gap in the
/// sequence numbers.
constexpr std::size_t kRetainedEvents = 4096;
/// Maximum number of events in one batch.
constexpr std::size_t kMaximumBatchEvents = 1024;

}  // namespace

PrefixCache::PrefixCache(std::uint32_t capacity, const common::Clock& clock,
                         common::RandomSource& random)
    : capacity_(capacity), clock_(clock), random_(random) {}

std::uint32_t PrefixCache::touchLongestPrefix(const std::vector<common::PieceHash>& pieces) {
  std::uint32_t found = 0;
  for (const common::PieceHash piece : pieces) {
    const auto entry = entries_.find(piece);
    if (entry == entries_.end()) {
      break;
    }
    recency_.splice(recency_.begin(), recency_, entry->second);
    ++found;
  }
  return found;
}

void PrefixCache::store(const std::vector<common::PieceHash>& pieces) {
  for (const common::PieceHash piece : pieces) {
    const auto entry = entries_.find(piece);
    if (entry != entries_.end()) {
      recency_.splice(recency_.begin(), recency_, entry->second);
      continue;
    }
    if (capacity_ == 0) {
      return;
    }
    if (entries_.size() >= capacity_) {
      evictOldest();
    }
    recency_.push_front(piece);
    entries_[piece] = recency_.begin();
    publish(engines::CacheEventKind::kStored, piece);
  }
}

void PrefixCache::clear() {
  while (!entries_.empty()) {
    evictOldest();
  }
}

void PrefixCache::forget() {
  recency_.clear();
  entries_.clear();
  published_.clear();
  last_sequence_ = 0;
}

engines::CacheEvents PrefixCache::eventsAfter(std::uint64_t after) const {
  engines::CacheEvents batch;
  batch.last_sequence = last_sequence_;
  const auto first = std::upper_bound(
      published_.begin(), published_.end(), after,
      [](std::uint64_t sequence, const PublishedEvent& e) { return sequence < e.event.sequence; });
  const common::MonotonicTime visible_until = clock_.now() - event_faults_.delay;
  for (auto event = first; event != published_.end(); ++event) {
    if (event->made_at > visible_until || batch.events.size() == kMaximumBatchEvents) {
      break;
    }
    batch.events.push_back(event->event);
  }
  return batch;
}

void PrefixCache::evictOldest() {
  const common::PieceHash oldest = recency_.back();
  recency_.pop_back();
  entries_.erase(oldest);
  publish(engines::CacheEventKind::kEvicted, oldest);
}

void PrefixCache::publish(engines::CacheEventKind kind, common::PieceHash piece) {
  ++last_sequence_;
  if (event_faults_.loss > 0 && random_.unit() < event_faults_.loss) {
    return;
  }
  published_.push_back({clock_.now(), engines::CacheEvent{last_sequence_, kind, piece}});
  if (published_.size() > kRetainedEvents) {
    published_.pop_front();
  }
}

}  // namespace cypresswall::emulation
