#include "cypresswall/emulation/weight_store.h"

#include <algorithm>

namespace cypresswall::emulation {

EmulatedWeightStore::EmulatedWeightStore(WeightStoreSettings settings, const common::Clock& clock,
                                         common::Scheduler& scheduler)
    : settings_(settings), clock_(clock), scheduler_(scheduler) {}

void EmulatedWeightStore::fetch(const std::string& uri,
                                std::function<void(WeightTransfer)> callback) {
  const common::MonotonicTime now = clock_.now();
  while (!ends_.empty() && ends_.front() <= now) {
    ends_.pop_front();
  }
  WeightTransfer transfer;
  if (ends_.size() >= settings_.maximum_transfers) {
    transfer.retry_after = ends_.front() - now;
    scheduler_.schedule(common::Duration{0},
                        [transfer, callback = std::move(callback)] { callback(transfer); });
    return;
  }
  transfer.complete = true;
  transfer.bytes = sizeOf(uri);
  const common::MonotonicTime start = ends_.empty() ? now : std::max(now, ends_.back());
  const auto duration =
      common::fromSeconds(static_cast<double>(transfer.bytes) / settings_.bytes_per_second);
  const common::MonotonicTime end = start + duration;
  ends_.push_back(end);
  scheduler_.schedule(end - now,
                      [transfer, callback = std::move(callback)] { callback(transfer); });
}

std::uint64_t EmulatedWeightStore::sizeOf(const std::string& uri) const {
  const auto size = sizes_.find(uri);
  return size == sizes_.end() ? settings_.default_bytes : size->second;
}

}  // namespace cypresswall::emulation
