/// The fence of an emulated engine: which orders it obeys.
#pragma once

#include <cstdint>
#include <optional>

#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// What the fence has to know of the engine to judge an order.
struct FenceContext {
  std::uint64_t incarnation = 0;
  bool change_in_progress = false;
  /// True if no stream runs or waits.
  bool idle = true;
};

/// Remembers the highest epoch and the last accepted order, and gives a verdict on each order as
/// docs/protocols.md sets out. Raising the fence is never refused as busy.
class OrderFence {
 public:
  /// Judges `order`; one that is accepted becomes the last order.
  engines::OrderVerdict judge(const engines::EngineOrder& order, const FenceContext& situation);

  const common::Epoch& highestEpoch() const { return highest_epoch_; }
  std::uint64_t lastSequence() const { return last_sequence_; }

 private:
  std::optional<engines::OrderVerdict> refusal(const engines::EngineOrder& order,
                                               const FenceContext& situation) const;

  common::Epoch highest_epoch_;
  std::uint64_t last_sequence_ = 0;
  engines::OrderContent last_content_;
};

}  // namespace cypresswall::emulation
