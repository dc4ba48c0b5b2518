#include "cypresswall/store_relay/change_history.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace cypresswall::store_relay {
namespace {

std::size_t bytesOf(const std::vector<StoreChange>& changes) {
  return std::accumulate(changes.begin(), changes.end(), std::size_t{0},
                         [](std::size_t bytes, const StoreChange& change) {
                           return bytes + change.name.size() + change.content.size();
                         });
}

}  // namespace

void ChangeHistory::restart(std::uint64_t revision) {
  batches_.clear();
  bytes_ = 0;
  begin_ = revision;
  changed_ = revision;
  revision_ = revision;
}

void ChangeHistory::add(std::vector<StoreChange> changes, std::uint64_t revision) {
  if (revision < revision_) {
    return;
  }
  revision_ = revision;
  if (changes.empty()) {
    return;
  }
  changed_ = revision;
  Batch batch{revision, bytesOf(changes), std::move(changes)};
  bytes_ += batch.bytes;
  batches_.push_back(std::move(batch));
  while (bytes_ > maximum_bytes_) {
    dropOldest();
  }
}

void ChangeHistory::dropOldest() {
  const Batch& oldest = batches_.front();
  begin_ = oldest.revision;
  bytes_ -= oldest.bytes;
  batches_.pop_front();
}

std::optional<std::vector<StoreChange>> ChangeHistory::since(std::uint64_t revision,
                                                             std::size_t maximum_bytes) const {
  if (revision < begin_) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  std::size_t bytes = 0;
  for (const Batch& batch : batches_) {
    if (batch.revision <= revision) {
      continue;
    }
    bytes += batch.bytes;
    if (bytes > maximum_bytes) {
      return std::nullopt;
    }
    std::copy(batch.changes.begin(), batch.changes.end(), std::back_inserter(changes));
  }
  return changes;
}

}  // namespace cypresswall::store_relay
