/// Emulation of the platform's weight store, which limits its total transfer rate.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/emulation/weight_source.h"

namespace cypresswall::emulation {

struct WeightStoreSettings {
  /// Total rate of all transfers.
  double bytes_per_second = 8e9;
  /// Maximum number of transfers in progress or queued; further ones are refused.
  std::size_t maximum_transfers = 16;
  /// Size of the weights at each URI for which setSize() was not called.
  std::uint64_t default_bytes = 16'000'000'000;
};

/// Serves one transfer after the other, each at the full rate.
class EmulatedWeightStore final : public WeightSource {
 public:
  EmulatedWeightStore(WeightStoreSettings settings, const common::Clock& clock,
                      common::Scheduler& scheduler);
  void setSize(const std::string& uri, std::uint64_t bytes) { sizes_[uri] = bytes; }
  void fetch(const std::string& uri, std::function<void(WeightTransfer)> callback) override;

 private:
  std::uint64_t sizeOf(const std::string& uri) const;

  WeightStoreSettings settings_;
  const common::Clock& clock_;
  common::Scheduler& scheduler_;
  std::map<std::string, std::uint64_t> sizes_;
  /// End times of the pending transfers, in order.
  std::deque<common::MonotonicTime> ends_;
};

}  // namespace cypresswall::emulation
