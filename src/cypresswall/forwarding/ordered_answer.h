/// Puts the parts of a forwarded answer in order: messages between nodes may overtake each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "cypresswall/common/time.h"

namespace cypresswall::forwarding {

class OrderedAnswer {
 public:
  /// \param gap_limit time for which a missing part is awaited
  /// \param on_gap called if a part does not arrive in time; no further part is delivered then
  OrderedAnswer(common::Scheduler& scheduler, common::Duration gap_limit,
                std::function<void()> on_gap)
      : scheduler_(scheduler), gap_limit_(gap_limit), on_gap_(std::move(on_gap)) {}
  ~OrderedAnswer() { scheduler_.cancel(gap_timer_); }
  OrderedAnswer(const OrderedAnswer&) = delete;
  OrderedAnswer& operator=(const OrderedAnswer&) = delete;

  /// Delivers a part once all parts before it have been delivered. Repeated parts are dropped.
  /// \param sequence position of the part, from 0
  /// \param deliver may destroy this object
  void take(std::uint32_t sequence, std::function<void()> deliver) {
    if (sequence < next_ || early_.size() >= kMaximumEarlyParts) {
      return;
    }
    early_.emplace(sequence, std::move(deliver));
    const std::weak_ptr<bool> alive = alive_;
    while (!early_.empty() && early_.begin()->first == next_) {
      const auto part = std::move(early_.begin()->second);
      early_.erase(early_.begin());
      ++next_;
      part();
      if (alive.expired()) {
        return;
      }
    }
    awaitMissingPart();
  }

 private:
  /// An answer with more parts ahead of a missing one is lost.
  static constexpr std::size_t kMaximumEarlyParts = 256;

  void awaitMissingPart() {
    scheduler_.cancel(std::exchange(gap_timer_, 0));
    if (!early_.empty()) {
      gap_timer_ = scheduler_.schedule(gap_limit_, [this] {
        gap_timer_ = 0;
        on_gap_();
      });
    }
  }

  common::Scheduler& scheduler_;
  const common::Duration gap_limit_;
  const std::function<void()> on_gap_;
  std::uint32_t next_ = 0;
  std::map<std::uint32_t, std::function<void()>> early_;
  common::TimerId gap_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cypresswall::forwarding
